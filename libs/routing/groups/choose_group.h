#ifndef MAGNOLIAREEL_ROUTING_GROUPS_CHOOSE_GROUP_H_
#define MAGNOLIAREEL_ROUTING_GROUPS_CHOOSE_GROUP_H_

#include <string_view>

#include "document/document.h"

namespace magnoliareel {

/** Chooses the group that holds a record.

    @param service     a service with at least one group
    @param record_key  the record; the empty key belongs to a group like any
                       other
    @returns           the same group for the same key as long as the service's
                       list of groups keeps its length and order
*/
const GroupConfig& ChooseGroup(const ServiceConfig& service,
                               std::string_view record_key);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ROUTING_GROUPS_CHOOSE_GROUP_H_
