#ifndef MAGNOLIAREEL_CONTROL_PEERS_PEER_GROUP_H_
#define MAGNOLIAREEL_CONTROL_PEERS_PEER_GROUP_H_

#include <map>
#include <optional>
#include <vector>

#include "control/peers/heartbeat.h"
#include "core/core.h"

namespace magnoliareel {

/** Interval between the heartbeats of a VM. */
inline constexpr Duration kHeartbeatPeriod = std::chrono::seconds(1);
/** A VM without a heartbeat for this long counts as lost: three heartbeats, and
    half a second for the network. */
inline constexpr Duration kPeerTimeout = std::chrono::milliseconds(3500);
/** Maximum number of live VMs that receive a heartbeat in one period. If there
    are more, they take turns, which limits the traffic of a VM to about 6 KB/s
    in each direction, half of the budget for control traffic. */
inline constexpr size_t kMaxHeartbeatTargets = 24;
/** Interval between heartbeats to an address from which none has arrived yet. A
    little less than kHeartbeatPeriod, so that no period is left out. */
inline constexpr Duration kNewPeerRetryInterval =
    std::chrono::milliseconds(900);
/** Interval between heartbeats to a lost VM, which may return. */
inline constexpr Duration kLostPeerRetryInterval = std::chrono::seconds(4);
/** An address without a heartbeat for this long is removed. */
inline constexpr Duration kSilentPeerRetention = std::chrono::seconds(90);

/** Membership of the other VMs, as this VM sees it from their heartbeats. */
class PeerGroup {
 public:
  /** State of another VM. */
  struct Peer {
    Heartbeat last;
    TimePoint heard_at;
    /** A heartbeat arrived within GetTimeout(), and the VM is not leaving. */
    bool live = false;
  };

  /** @param self  the address at which peers reach this VM */
  explicit PeerGroup(SocketAddress self) : self_(std::move(self)) {}

  /** @returns the address at which peers reach this VM */
  const SocketAddress& GetSelfAddress() const { return self_; }

  /** Adds an address to which heartbeats are sent.

      @param address  address of a VM that may exist
      @param now      the current time
      @returns        true if the address was not known
  */
  bool Learn(const SocketAddress& address, TimePoint now);

  /** Records a heartbeat of another VM.

      @param heartbeat  the heartbeat; ignored if it comes from this VM
      @param now        the current time
      @returns          true if the VM has become live, or its process starts
                        anew: it is then told of what it does not know
  */
  bool RecordHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  /** Marks VMs whose heartbeats have timed out as lost, and removes addresses
      after kSilentPeerRetention.

      @param now  the current time
      @returns    VMs that this call marked as lost, with the time since their
                  last heartbeat
  */
  std::vector<std::pair<VmId, Duration>> Sweep(TimePoint now);

  /** Returns the addresses to which a heartbeat is due.

      @param now       the current time
      @param max_live  maximum number of live VMs; those that have waited
                       longest are chosen
      @returns         the chosen live VMs, those that are shutting down among
                       them, and the addresses that are due because no VM there
                       is known to be live
  */
  std::vector<SocketAddress> ListTargets(TimePoint now, size_t max_live);

  /** Decides whether a VM that has just become live is sent a heartbeat at
     once. It is not needed if one was sent a moment ago: VMs that start
     together would otherwise all send each other two.

      @param address  address of the VM
      @param now      the current time
      @returns        true if it must be sent; counts it as sent then
  */
  bool TakeWelcome(const SocketAddress& address, TimePoint now);

  /** Decides whether a heartbeat has to tell its receiver that this process has
      just started, since the receiver may not have noticed the end of the
      former one.

      @param address  address of the receiver
      @param now      the current time
      @returns        true for the first heartbeat to an address within
                      kPeerTimeout of the first call
  */
  bool TakeIntroduction(const SocketAddress& address, TimePoint now);

  /** @returns the other live VMs, ordered by name */
  std::vector<const Peer*> ListLive() const;
  /** @param now  the current time
      @returns    the live VMs and those that are shutting down, ordered by name
  */
  std::vector<const Peer*> ListRunning(TimePoint now) const;
  /** @returns the number of live VMs, including this one */
  uint32_t CountLive() const;
  /** @returns the number of VMs, including this one, that have sent a heartbeat
              within kSilentPeerRetention and have not announced that they
              leave */
  uint32_t CountKnown() const;
  /** @param now  the current time
      @returns    whether this VM and those whose latest heartbeat is not
     overdue are most of the known ones */
  bool HearsMost(TimePoint now) const;
  /** @param now  the current time
      @returns    CountLive() plus the number of addresses that were added less
                  than kPeerTimeout ago and have not sent a heartbeat yet */
  uint32_t CountExpected(TimePoint now) const;

 private:
  struct AddressState {
    TimePoint first_tried;
    /** Zero before the first heartbeat was sent. */
    TimePoint tried_at;
    /** True if it was told that this process has started. */
    bool is_introduced = false;
    VmId vm;
  };

  /** @returns whether the VM is shutting down and still runs */
  static bool IsLeaving(const Peer& peer, TimePoint now);
  /** Returns how long a peer may be silent. A VM that holds duties sends to
      every peer in every period, as the others wait for it to act. The timeout
      of the other VMs allows for the turns that they take. */
  Duration GetTimeout(const Peer& peer) const;

  SocketAddress self_;
  /** Time of the first heartbeat; none before it. */
  std::optional<TimePoint> introduced_since_;
  std::map<SocketAddress, AddressState> addresses_;
  std::map<VmId, Peer> peers_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_PEERS_PEER_GROUP_H_
