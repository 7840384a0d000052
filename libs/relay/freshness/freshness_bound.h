#ifndef MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_H_
#define MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_H_

#include "core/core.h"

namespace magnoliareel {

/** A query for a freshness bound, from one VM to another.

    @see FreshnessBoundHistory */
struct FreshnessBoundQuery {
  ServiceId service;
  /** Maximum age of a bound that is useful to the VM that queries. */
  Duration max_bound_age{};
};

/** A freshness bound, as one VM sends it to another. It contains an age and not
    a time, because the VMs' clocks are not synchronized. */
struct FreshnessBound {
  ServiceId service;
  LogPoint point;
  /** Time since the primary was queried. */
  Duration age{};
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_FRESHNESS_FRESHNESS_BOUND_H_
