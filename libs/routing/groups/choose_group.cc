#include "routing/groups/choose_group.h"

#include <xxhash.h>

#include <cassert>

namespace magnoliareel {

const GroupConfig& ChooseGroup(const ServiceConfig& service,
                               std::string_view record_key) {
  assert(!service.groups.empty());
  return service.groups[XXH3_64bits(record_key.data(), record_key.size()) %
                        service.groups.size()];
}

}  // namespace magnoliareel
