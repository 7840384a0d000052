#include "relay/sessions/caller_session.h"

namespace magnoliareel {

std::string_view NeedName(Need need) {
  switch (need) {
    case Need::kRead:
      return "read";
    case Need::kProvenRead:
      return "proven_read";
    case Need::kWrite:
      return "write";
    case Need::kPlainTransaction:
      return "transaction";
    case Need::kReadTransaction:
      return "read_transaction";
    case Need::kWithin:
      return "within";
  }
  return "within";
}

}  // namespace magnoliareel
