#include "standins/endpoint/endpoint_model.h"

namespace magnoliareel::standin {

bool TakesSlot(EndpointVerb verb) {
  switch (verb) {
    case EndpointVerb::kRead:
    case EndpointVerb::kWrite:
    case EndpointVerb::kBegin:
    case EndpointVerb::kCommit:
    case EndpointVerb::kRollback:
    case EndpointVerb::kSettle:
      return true;
    default:
      return false;
  }
}

}  // namespace magnoliareel::standin
