#ifndef MAGNOLIAREEL_RELAY_CORE_TRAFFIC_NET_H_
#define MAGNOLIAREEL_RELAY_CORE_TRAFFIC_NET_H_

#include <concepts>
#include <cstdint>
#include <string>

#include "allowance/allowance.h"
#include "core/core.h"
#include "directory/directory.h"
#include "relay/freshness/freshness_bound.h"
#include "settings/settings.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Network and timer operations that the core needs.

    - Now: returns the time of a clock that counts suspensions of the VM.
    - GetCallerBuffer, GetEndpointBuffer: return output buffers, which are sent
      when the current event has been handled.
    - OpenEndpoint: connects; the core is called on success or failure later.
    - CloseCaller, CloseEndpoint: close a connection after sending its buffer.
    - HasUnread: returns whether a caller has sent bytes that were not handled
      yet.
    - PauseCaller, ResumeCaller: stop to read from a caller, and read again.
    - Wake: calls TrafficCore::HandleWake() at the given time, or earlier.
    - Report: passes an endpoint's condition to the control thread.
    - Observe: records the outcome and latency of a finished statement.
    - OnPrimaryConfirmed: notifies the control thread that an endpoint confirmed
      that it is the primary.
    - RequestPeerBound: queries another VM for a freshness bound, or calls
      TrafficCore::RequestPrimaryBound() if this VM queries the primary for its
      region.
    - SendPermitRequest: asks another VM for permits of a team; may be lost.
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
                              const FreshnessBoundQuery& query,
                              const VmId& owner,
                              const PermitRequest& request) {
  { net.Now() } -> std::same_as<TimePoint>;
  { net.GetCallerBuffer(id) } -> std::same_as<std::string&>;
  { net.GetEndpointBuffer(id) } -> std::same_as<std::string&>;
  net.OpenEndpoint(id, address);
  net.CloseEndpoint(id);
  net.CloseCaller(id);
  { net.HasUnread(id) } -> std::same_as<bool>;
  net.PauseCaller(id);
  net.ResumeCaller(id);
  net.Wake(moment);
  net.Report(report);
  net.OnPrimaryConfirmed(endpoint, term);
  net.Observe(sample);
  net.RequestPeerBound(query);
  net.SendPermitRequest(owner, request);
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_CORE_TRAFFIC_NET_H_
