#ifndef MAGNOLIAREEL_APPS_NODE_BOUND_EXCHANGE_H_
#define MAGNOLIAREEL_APPS_NODE_BOUND_EXCHANGE_H_

#include <functional>
#include <map>
#include <string_view>

#include "control/control.h"
#include "gossip/gossip.h"
#include "net/net.h"
#include "relay/relay.h"

namespace magnoliareel {

/** Asks other VMs for freshness bounds, and answers them. In each region one VM
    asks a service's primary; which one follows from rendezvous hashing, so that
    nobody has to be told.

    Belongs to the control thread. @see FreshnessBounds
*/
class BoundExchange {
 public:
  /** What the exchange asks of its node. */
  struct Hooks {
    /** Sends a datagram. */
    std::function<void(const SocketAddress&, std::string_view)> send;
    /** Has this VM's traffic answer, on any thread. */
    std::function<void(const BoundQuestion&,
                       std::function<void(const PeerBound&)>)>
        answer;
    /** Hands this VM's traffic an answer, with the time of its question. */
    std::function<void(const PeerBound&, TimePoint)> take;
    /** Has this VM's traffic ask the primary. */
    std::function<void(const ServiceId&)> ask_primary;
  };

  /** @param loop      the control thread's; outlives the exchange
      @param settings  where this VM is; outlives the exchange
      @param peers     the other VMs; outlives the exchange
      @param hooks     see there
  */
  BoundExchange(EventLoop& loop,
                const NodeSettings& settings,
                const PeerGroup& peers,
                Hooks hooks);

  /** Asks the VM that has the region's bounds of a service. */
  void Ask(const BoundQuestion& question);
  /** Takes a datagram; ignores those that are not the exchange's. */
  void Handle(std::string_view bytes);

 private:
  struct Pending {
    VmId keeper;
    TimePoint sent_at;
  };

  /** @returns null if it is this VM */
  const PeerGroup::Peer* ChooseKeeper(const ServiceId& service) const;
  void SweepPending();

  EventLoop& loop_;
  const NodeSettings& settings_;
  const PeerGroup& peers_;
  const Hooks hooks_;
  Mailbox<std::pair<SocketAddress, FreshnessBoundResponse>> responses_;
  std::map<uint64_t, Pending> pending_;
  std::map<VmId, TimePoint> avoided_until_;
  uint64_t next_id_ = 1;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_BOUND_EXCHANGE_H_
