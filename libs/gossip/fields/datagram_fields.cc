#include "gossip/fields/datagram_fields.h"

#include <cstdint>

namespace magnoliareel {

bool DecodeDuration(std::string_view text, Duration& out) {
  uint64_t microseconds = 0;
  if (!ParseDecimal(text, microseconds)) {
    return false;
  }
  out = Duration(static_cast<Duration::rep>(microseconds));
  return out >= Duration(0);
}

}  // namespace magnoliareel
