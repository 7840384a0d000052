#ifndef MAGNOLIAREEL_APPS_NODE_FRESHNESS_BOUND_EXCHANGE_H_
#define MAGNOLIAREEL_APPS_NODE_FRESHNESS_BOUND_EXCHANGE_H_

#include <functional>
#include <map>
#include <string_view>

#include "control/control.h"
#include "gossip/gossip.h"
#include "net/net.h"
#include "relay/relay.h"

namespace magnoliareel {

/** Exchanges freshness bounds between VMs. In each region one VM, the owner,
    asks the primary of a service on behalf of the others. Every VM finds the
    owner by rendezvous hashing, so no coordination is needed.

    Used on the control thread only. @see FreshnessBoundHistory
*/
class FreshnessBoundExchange {
 public:
  /** Functions that the node provides. */
  struct Callbacks {
    /** Sends a datagram. */
    std::function<void(const SocketAddress&, std::string_view)> send;
    /** Lets the traffic thread answer a query of another VM. The completion may
        be called on any thread. */
    std::function<void(const FreshnessBoundQuery&,
                       std::function<void(const FreshnessBound&)>)>
        answer_query;
    /** Passes a received bound to the traffic thread, with the time at which
        the query was sent. */
    std::function<void(const FreshnessBound&, TimePoint)> record_bound;
    /** Lets the traffic thread ask the primary of a service for a bound. */
    std::function<void(const ServiceId&)> query_primary;
  };

  /** @param loop       event loop of the control thread; outlives the exchange
      @param settings   name, site and address of this VM; outlives the exchange
      @param peers      the other VMs; outlives the exchange
      @param callbacks  functions that the node provides
  */
  FreshnessBoundExchange(EventLoop& loop,
                         const NodeSettings& settings,
                         const PeerGroup& peers,
                         Callbacks callbacks);

  /** Queries the service's owner in this region for a freshness bound. Asks the
      primary instead if this VM is the owner or every candidate is in backoff.
  */
  void SendQuery(const FreshnessBoundQuery& query);
  /** Handles a received query or response. Ignores any other datagram. */
  void HandleDatagram(std::string_view bytes);

 private:
  struct Pending {
    VmId owner;
    TimePoint sent_at;
  };

  /** @returns the VM that asks the service's primary for this region; null if
               that is this VM or every candidate is in backoff */
  const PeerGroup::Peer* FindOwner(const ServiceId& service) const;
  /** Drops queries that were not answered in time, and starts the backoff of
      the VMs that did not answer them. */
  void ExpirePending();

  EventLoop& loop_;
  const NodeSettings& settings_;
  const PeerGroup& peers_;
  const Callbacks callbacks_;
  Mailbox<std::pair<SocketAddress, FreshnessBoundResponse>> responses_;
  std::map<uint64_t, Pending> pending_;
  std::map<VmId, TimePoint> unresponsive_until_;
  uint64_t next_id_ = 1;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_FRESHNESS_BOUND_EXCHANGE_H_
