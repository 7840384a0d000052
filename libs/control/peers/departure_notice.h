#ifndef MAGNOLIAREEL_CONTROL_PEERS_DEPARTURE_NOTICE_H_
#define MAGNOLIAREEL_CONTROL_PEERS_DEPARTURE_NOTICE_H_

#include "core/core.h"

namespace magnoliareel {

/** Tells other VMs that an endpoint has left the directory, and whether another
    replica is known to hold the commits that it acknowledged.

    @see DepartureTracker
*/
struct DepartureNotice {
  ServiceId service;
  EndpointId endpoint;
  bool accounted = false;

  bool operator==(const DepartureNotice&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_PEERS_DEPARTURE_NOTICE_H_
