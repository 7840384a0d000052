#ifndef MAGNOLIAREEL_COORDINATION_DUTIES_DUTY_ROW_H_
#define MAGNOLIAREEL_COORDINATION_DUTIES_DUTY_ROW_H_

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** What the holder of a service's failover duty has to know about the service's
    endpoints, even if all VMs have been lost since. */
struct GroupRecord {
  /** The latest confirmed primary; empty if there was none. */
  EndpointId primary;
  /** Term in which it was confirmed; 0 if only the directory reported its
      role. */
  Term term;
  /** Endpoints that may be the only ones with an acknowledged commit, ordered
      by id: those that are listed, and those that have left and are not
      accounted for. */
  std::vector<EndpointId> members;

  bool operator==(const GroupRecord&) const = default;
};

/** The row of a service's failover duty. */
struct DutyRow {
  VmId holder;
  GroupRecord group;
};

/** Encodes and decodes the rows of kDutyTable.

    - Encode: returns the value of a row.
    - Decode: returns false if the value is not that of a row; the row is then
      unspecified.
*/
template <class R>
concept DutyRowCodec = requires(const DutyRow& row,
                                std::string_view value,
                                DutyRow& out) {
  { R::Encode(row) } -> std::convertible_to<std::string>;
  { R::Decode(value, out) } -> std::same_as<bool>;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_COORDINATION_DUTIES_DUTY_ROW_H_
