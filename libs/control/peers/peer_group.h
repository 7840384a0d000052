#ifndef MAGNOLIAREEL_CONTROL_PEERS_PEER_GROUP_H_
#define MAGNOLIAREEL_CONTROL_PEERS_PEER_GROUP_H_

#include <map>
#include <optional>
#include <vector>

#include "control/peers/heartbeat.h"
#include "core/core.h"

namespace magnoliareel {

/** How often a VM tells the others that it lives. */
inline constexpr Duration kHeartbeatPeriod = std::chrono::seconds(1);
/** A VM that was not heard for this long counts as lost: three heartbeats and
    half a second for the network. */
inline constexpr Duration kPeerTimeout = std::chrono::milliseconds(3500);
/** Live VMs that get a heartbeat in one period; with more of them they take
    turns, so that a VM's cost stays the same: about 6 KB/s each way, half of
    what control may cost. */
inline constexpr size_t kMaxHeartbeatTargets = 24;
/** How often a lost VM is still tried, in case it returns. */
inline constexpr Duration kLostPeerRetryInterval = std::chrono::seconds(4);
/** An address that stayed silent for this long is forgotten. */
inline constexpr Duration kSilentPeerRetention = std::chrono::seconds(90);

/** The other VMs, as far as this one hears them. */
class PeerGroup {
 public:
  /** One VM. */
  struct Peer {
    Heartbeat last;
    TimePoint heard_at;
    /** It was heard within GetTimeout(). */
    bool live = false;
  };

  /** @param self  this VM's address among peers */
  explicit PeerGroup(SocketAddress self) : self_(std::move(self)) {}

  /** Adds an address to try.

      @param address  a VM that may exist
      @param now      the present moment
  */
  void Learn(const SocketAddress& address, TimePoint now);

  /** Takes up a heartbeat.

      @param heartbeat  from another VM
      @param now        the present moment
      @returns          true if the VM was not live before
  */
  bool RecordHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  /** Ages the peers.

      @param now  the present moment
      @returns    VMs that were lost just now, with the time since they were
     heard
  */
  std::vector<std::pair<VmId, Duration>> Sweep(TimePoint now);

  /** @param now   the present moment
      @param most  of the live VMs; those that have waited longest go first
      @returns     whom to send a heartbeat to; lost VMs in turn */
  std::vector<SocketAddress> ListTargets(TimePoint now, size_t most);

  /** @returns live VMs, by name */
  std::vector<const Peer*> ListLive() const;
  /** @returns number of live VMs, this one included */
  uint32_t CountLive() const;
  /** @param now  the present moment
      @returns    CountLive() with addresses that were learned so lately that
                  their VMs may not have been heard yet */
  uint32_t CountExpected(TimePoint now) const;

 private:
  struct AddressState {
    TimePoint first_tried;
    TimePoint tried_at;
    VmId vm;
  };

  /** VMs that hold duties tell everybody every period, as others wait for them
      to act; the rest are heard when their turn comes. */
  Duration GetTimeout(const Peer& peer) const;

  SocketAddress self_;
  std::map<SocketAddress, AddressState> addresses_;
  std::map<VmId, Peer> peers_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_PEERS_PEER_GROUP_H_
