#ifndef MAGNOLIAREEL_APPS_NODE_PEER_EXCHANGE_H_
#define MAGNOLIAREEL_APPS_NODE_PEER_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/control.h"
#include "gossip/gossip.h"
#include "net/net.h"

namespace magnoliareel {

/** Carries heartbeats between VMs, and configuration and directory to those
    that the store does not answer. */
class PeerExchange {
 public:
  /** What the exchange asks of its node. */
  struct Hooks {
    /** Completes a heartbeat of this VM. */
    std::function<void(Heartbeat&)> fill;
    /** @returns true if a peer's configuration or directory is newer */
    std::function<bool(uint64_t config, uint64_t endpoints)> is_newer;
    /** Takes a heartbeat of a peer. */
    std::function<void(const Heartbeat&)> heard;
    /** @returns what to hand to a peer */
    std::function<FleetState()> get_state;
    /** @returns what to tell operators */
    std::function<NodeStatus()> get_status;
    /** Takes what a peer has handed over. */
    std::function<void(const FleetState&)> take_state;
    /** Takes a datagram that is no heartbeat. */
    std::function<void(std::string_view)> handle_other;
    /** The number of live or expected VMs may have changed. */
    std::function<void()> changed;
  };

  /** @param loop   serves the exchange; outlives it
      @param self   where this VM is reached
      @param hooks  see there
  */
  PeerExchange(EventLoop& loop, const SocketAddress& self, Hooks hooks);

  /** Starts to send and receive.

      @returns the system's error if the address cannot be used
  */
  std::error_code Start();
  /** Sends another VM a datagram that is no heartbeat. */
  void SendDatagram(const SocketAddress& address, std::string_view bytes) {
    socket_.Send(address, bytes);
  }
  /** Adds a VM that may exist. */
  void Learn(const SocketAddress& address);
  /** Sends heartbeats soon; calls within a short time are joined. */
  void SendSoon();
  /** @returns the other VMs */
  const PeerGroup& GetPeers() const { return peers_; }

 private:
  void Respond(const net::Request& request,
               const net::HttpListener::Answer& answer);
  void HandleDatagram(std::string_view bytes);
  void HandlePeriod();
  Heartbeat MakeHeartbeat() const;
  void Send(std::span<const SocketAddress> targets, const Heartbeat& heartbeat);
  void PlanFetch(const Heartbeat& heartbeat);
  void Fetch(const SocketAddress& address,
             uint64_t config_version,
             uint64_t endpoints_version);

  EventLoop& loop_;
  const SocketAddress self_;
  const Hooks hooks_;
  PeerGroup peers_;
  DatagramSocket socket_;
  net::HttpListener listener_;
  LoopTimer period_timer_;
  LoopTimer soon_timer_;
  LoopTimer fetch_timer_;
  bool soon_ = false;
  bool fetching_ = false;
  std::function<void()> fetch_;
  std::unique_ptr<net::HttpConnection> source_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_PEER_EXCHANGE_H_
