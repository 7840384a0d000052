#ifndef MAGNOLIAREEL_ROUTING_GROUPS_CHOOSE_GROUP_H_
#define MAGNOLIAREEL_ROUTING_GROUPS_CHOOSE_GROUP_H_

#include <string_view>

#include "document/document.h"

namespace magnoliareel {

/** Chooses the group that holds a record by a hash of its key.

    The result for a key is stable as long as the service's list of groups keeps
    its length and order.

    @param service     a service with at least one group
    @param record_key  key of the record; the empty key is valid and maps to a
                       group too
    @returns           the group
*/
const GroupConfig& ChooseGroup(const ServiceConfig& service,
                               std::string_view record_key);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ROUTING_GROUPS_CHOOSE_GROUP_H_
