#include "relay/messages/endpoint_requirement.h"

namespace magnoliareel {

std::string_view EndpointRequirementName(EndpointRequirement requirement) {
  switch (requirement) {
    case EndpointRequirement::kRead:
      return "read";
    case EndpointRequirement::kPrimaryRead:
      return "proven_read";
    case EndpointRequirement::kWrite:
      return "write";
    case EndpointRequirement::kReadWriteTransaction:
      return "transaction";
    case EndpointRequirement::kReadTransaction:
      return "read_transaction";
    case EndpointRequirement::kOpenTransaction:
      return "within";
  }
  return "within";
}

}  // namespace magnoliareel
