#ifndef MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_H_
#define MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_H_

#include "core/core.h"

namespace magnoliareel {

/** A question for a freshness bound, from one VM to another.
    @see FreshnessBoundHistory */
struct FreshnessBoundQuery {
  ServiceId service;
  /** An older bound does not help. */
  Duration max_bound_age{};
};

/** A freshness bound, as one VM tells it another. Ages travel, not times: the
    VMs' clocks have nothing in common. */
struct FreshnessBound {
  ServiceId service;
  LogPoint point;
  /** Time since the primary was asked. */
  Duration age{};
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_H_
