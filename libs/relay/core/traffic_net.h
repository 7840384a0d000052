#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_NET_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_NET_H_

#include <concepts>
#include <cstdint>
#include <string>

#include "core/core.h"
#include "directory/directory.h"
#include "relay/freshness/freshness_bound.h"
#include "settings/settings.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Carries the core's bytes and reminders.

    - GetCallerBuffer, GetEndpointBuffer: buffers that are sent when the present
      event has been handled.
    - OpenEndpoint: connects; the core hears of success or failure later.
    - CloseCaller, CloseEndpoint: end a connection, sending what is buffered.
    - HasUnread: whether a caller has sent bytes that were not handled yet.
    - Wake: calls TrafficCore::HandleWake() at that moment, or earlier.
    - Report: hands an observation to the control thread.
    - Observe: takes the figures of an answered statement.
    - OnPrimaryConfirmed: tells the control thread that an endpoint proved its
   lead.
    - RequestPeerBound: asks another VM for a freshness bound, or has
      TrafficCore::RequestPrimaryBound() called if this VM asks for its region.
*/
template <class N>
concept TrafficNet = requires(N& net,
                              uint64_t id,
                              const SocketAddress& address,
                              TimePoint moment,
                              const ConditionReport& report,
                              const EndpointId& endpoint,
                              Term term,
                              const StatementSample& sample,
                              const FreshnessBoundQuery& question) {
  { net.Now() } -> std::same_as<TimePoint>;
  { net.GetCallerBuffer(id) } -> std::same_as<std::string&>;
  { net.GetEndpointBuffer(id) } -> std::same_as<std::string&>;
  net.OpenEndpoint(id, address);
  net.CloseEndpoint(id);
  net.CloseCaller(id);
  { net.HasUnread(id) } -> std::same_as<bool>;
  net.Wake(moment);
  net.Report(report);
  net.OnPrimaryConfirmed(endpoint, term);
  net.Observe(sample);
  net.RequestPeerBound(question);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_NET_H_
