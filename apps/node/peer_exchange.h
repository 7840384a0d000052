#ifndef MAGNOLIAREEL_APPS_NODE_PEER_EXCHANGE_H_
#define MAGNOLIAREEL_APPS_NODE_PEER_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "control/control.h"
#include "gossip/gossip.h"
#include "net/net.h"

namespace magnoliareel {

/** Exchanges heartbeats with other VMs. Fetches configuration and directory
    from a peer whose versions are newer, so that a VM that cannot reach the
    store stays up to date.

    Used on the control thread only.
*/
class PeerExchange {
 public:
  /** Functions that the node provides. */
  struct Callbacks {
    /** Fills in a heartbeat that this VM is about to send. */
    std::function<void(Heartbeat&)> fill_heartbeat;
    /** Returns true if either version is newer than this VM's. */
    std::function<bool(uint64_t config, uint64_t endpoints)> is_newer;
    /** Asks the store for the changes that a peer knows of. Returns false if
        that is not possible or has been done. */
    std::function<bool()> renew_feeds;
    /** Returns the notices to send along with heartbeats. */
    std::function<std::vector<DepartureNotice>()> list_departures;
    /** Handles the notices of a peer. */
    std::function<void(std::span<const DepartureNotice>)> on_departures;
    /** Returns the drains to tell of along with heartbeats. */
    std::function<std::vector<DrainNotice>()> list_drains;
    /** Handles the drains that a peer tells of. */
    std::function<void(std::span<const DrainNotice>)> on_drains;
    /** Handles a heartbeat received from a peer. */
    std::function<void(const Heartbeat&)> on_heartbeat;
    /** Returns the configuration and directory to send to a peer. */
    std::function<FleetState()> get_state;
    /** Returns this VM's status for operators. */
    std::function<NodeStatus()> get_status;
    /** Applies configuration and directory received from a peer. */
    std::function<void(const FleetState&)> apply_state;
    /** Handles a datagram that is not a heartbeat. */
    std::function<void(std::string_view)> handle_other_datagram;
    /** Called when the number of live or expected VMs may have changed. */
    std::function<void()> on_peers_changed;
  };

  /** @param loop       event loop of the control thread; outlives the exchange
      @param self       address at which other VMs reach this VM
      @param callbacks  functions that the node provides
  */
  PeerExchange(EventLoop& loop, const SocketAddress& self, Callbacks callbacks);

  /** Starts sending heartbeats and receiving datagrams and requests.

      @returns an error of the system if the address cannot be bound
  */
  std::error_code Start();
  /** Sends a datagram that is not a heartbeat to another VM. */
  void SendDatagram(const SocketAddress& address, std::string_view bytes) {
    socket_.Send(address, bytes);
  }
  /** Adds addresses of possible peers and schedules a heartbeat to those that
      are new. */
  void AddPeers(std::span<const SocketAddress> addresses);
  /** Obtains the state of a peer unless this VM learns it otherwise: a moment
      later, asks the store on new connections; if that does not help, fetches
      it from the peer.

      @param address         the peer
      @param config_version  version of the configuration that the peer knows
      @param endpoints_version  newest row of the directory that it knows
  */
  void HandleVersions(const SocketAddress& address,
                      uint64_t config_version,
                      uint64_t endpoints_version);
  /** Schedules a heartbeat to all peers ahead of the regular interval. Calls
      within a short time result in one heartbeat. */
  void ScheduleHeartbeat();
  /** @returns the other VMs */
  const PeerGroup& GetPeers() const { return peers_; }

 private:
  void HandleRequest(const net::Request& request,
                     const net::HttpListener::Answer& answer);
  void HandleDatagram(std::string_view bytes);
  /** Sends a VM that has become live a heartbeat with addresses of others. */
  void Welcome(const SocketAddress& address);
  void StartCoalescing();
  void HandleHeartbeatTimer();
  Heartbeat MakeHeartbeat() const;
  void Send(std::span<const SocketAddress> targets, const Heartbeat& heartbeat);
  void RenewOrFetchState(const SocketAddress& address,
                         uint64_t config_version,
                         uint64_t endpoints_version);
  void FetchState(const SocketAddress& address,
                  uint64_t config_version,
                  uint64_t endpoints_version);

  EventLoop& loop_;
  const SocketAddress self_;
  const Callbacks callbacks_;
  PeerGroup peers_;
  DatagramSocket socket_;
  net::HttpListener listener_;
  LoopTimer heartbeat_timer_;
  LoopTimer coalescing_timer_;
  LoopTimer fetch_timer_;
  bool heartbeat_scheduled_ = false;
  // Whether the scheduled heartbeat goes to live peers, too.
  bool heartbeat_to_all_ = false;
  /** A heartbeat was sent since the start. */
  bool has_sent_ = false;
  bool fetching_ = false;
  std::function<void()> pending_fetch_;
  std::unique_ptr<net::HttpConnection> fetch_connection_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_PEER_EXCHANGE_H_
