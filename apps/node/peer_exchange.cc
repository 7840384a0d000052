#include "apps/node/peer_exchange.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace magnoliareel {
namespace {

// Changes within this time are sent in one heartbeat.
constexpr Duration kHeartbeatCoalescingDelay = std::chrono::milliseconds(15);
// Delay before the store is asked for a newer state that a peer has, and again
// before it is fetched from the peer. The store usually delivers the same state
// in the meantime.
constexpr Duration kFetchDelay = std::chrono::milliseconds(400);
// Sufficient for several hundred kilobytes of state between regions.
constexpr Duration kFetchTimeout = std::chrono::milliseconds(1500);
// Limit of the peer addresses sent to a VM that joins; they fit one datagram.
constexpr size_t kMaxAdvertisedPeers = 24;
constexpr std::string_view kStatePath = "/state";
constexpr std::string_view kStatusPath = "/status";

/** Encodes notices as datagrams of at most `max` notices each. */
template <class T>
void AppendDatagrams(std::span<const T> notices,
                     size_t max,
                     std::string (*encode)(std::span<const T>),
                     std::vector<std::string>& out) {
  while (!notices.empty()) {
    const size_t n = std::min(notices.size(), max);
    out.push_back(encode(notices.first(n)));
    notices = notices.subspan(n);
  }
}

}  // namespace

PeerExchange::PeerExchange(EventLoop& loop,
                           const SocketAddress& self,
                           Callbacks callbacks)
    : loop_(loop),
      self_(self),
      callbacks_(std::move(callbacks)),
      peers_(self),
      socket_(loop, [this](std::string_view bytes) { HandleDatagram(bytes); }),
      listener_(loop,
                [this](const net::Request& request,
                       const net::HttpListener::Answer& answer) {
                  HandleRequest(request, answer);
                }),
      heartbeat_timer_(loop, [this] { HandleHeartbeatTimer(); }),
      coalescing_timer_(
          loop,
          [this] {
            heartbeat_scheduled_ = false;
            const bool to_all = std::exchange(heartbeat_to_all_, false);
            Send(peers_.ListTargets(loop_.Now(), to_all ? SIZE_MAX : 0),
                 MakeHeartbeat());
          }),
      fetch_timer_(loop, [this] {
        if (pending_fetch_) {
          std::exchange(pending_fetch_, nullptr)();
        }
      }) {}

void PeerExchange::HandleRequest(const net::Request& request,
                                 const net::HttpListener::Answer& answer) {
  if (request.target == kStatePath) {
    answer({200, EncodeFleetState(callbacks_.get_state())});
  } else if (request.target == kStatusPath) {
    answer({200, EncodeNodeStatus(callbacks_.get_status())});
  } else {
    answer({404, {}});
  }
}

std::error_code PeerExchange::Start() {
  if (const std::error_code ec = socket_.Bind(self_)) {
    return ec;
  }
  if (const std::error_code ec = listener_.Listen(self_)) {
    return ec;
  }
  heartbeat_timer_.StartRepeating(kHeartbeatPeriod);
  return {};
}

void PeerExchange::AddPeers(std::span<const SocketAddress> addresses) {
  bool added = false;
  for (const SocketAddress& it : addresses) {
    added = peers_.Learn(it, loop_.Now()) || added;
  }
  if (!added) {
    return;
  }
  callbacks_.on_peers_changed();
  if (!std::exchange(has_sent_, true)) {
    // Before the first configuration, so that they know of the new process.
    Send(peers_.ListTargets(loop_.Now(), 0), MakeHeartbeat());
    return;
  }
  StartCoalescing();
}

void PeerExchange::ScheduleHeartbeat() {
  heartbeat_to_all_ = true;
  StartCoalescing();
}

void PeerExchange::StartCoalescing() {
  if (!std::exchange(heartbeat_scheduled_, true)) {
    coalescing_timer_.StartOnce(kHeartbeatCoalescingDelay);
  }
}

void PeerExchange::HandleDatagram(std::string_view bytes) {
  if (std::vector<DepartureNotice> notices;
      DecodeDepartureNotices(bytes, notices)) {
    callbacks_.on_departures(notices);
    return;
  }
  if (std::vector<DrainNotice> notices; DecodeDrainNotices(bytes, notices)) {
    callbacks_.on_drains(notices);
    return;
  }
  Heartbeat heartbeat;
  if (!DecodeHeartbeat(bytes, heartbeat)) {
    callbacks_.handle_other_datagram(bytes);
    return;
  }
  if (heartbeat.address == self_) {
    return;
  }
  const TimePoint now = loop_.Now();
  const bool was_leaving = heartbeat.leaving;
  const bool joined = peers_.RecordHeartbeat(heartbeat, now);
  bool learned = false;
  for (const SocketAddress& it : heartbeat.others) {
    learned = peers_.Learn(it, now) || learned;
  }
  if (learned) {
    // They may know of an open order.
    StartCoalescing();
  }
  if (joined) {
    LogEvent(Event::kPeerRegained,
             {{"vm", heartbeat.vm.value},
              {"site", heartbeat.site.value},
              {"live", std::to_string(peers_.CountLive())}});
    // What was sent a moment ago may have met its former process.
    const bool is_due = peers_.TakeWelcome(heartbeat.address, now);
    if (is_due || !MakeHeartbeat().replacements.empty()) {
      Welcome(heartbeat.address);
    }
  }
  if (joined || was_leaving) {
    callbacks_.on_peers_changed();
  }
  callbacks_.on_heartbeat(heartbeat);
  HandleVersions(heartbeat.address, heartbeat.config_version,
                 heartbeat.endpoints_version);
}

void PeerExchange::Welcome(const SocketAddress& address) {
  Heartbeat welcome = MakeHeartbeat();
  for (const PeerGroup::Peer* it : peers_.ListLive()) {
    if (welcome.others.size() < kMaxAdvertisedPeers) {
      welcome.others.push_back(it->last.address);
    }
  }
  Send(std::array{address}, welcome);
}

void PeerExchange::HandleHeartbeatTimer() {
  const TimePoint now = loop_.Now();
  const auto lost = peers_.Sweep(now);
  for (const auto& [vm, silence] : lost) {
    LogEvent(Event::kPeerLost,
             {{"vm", vm.value},
              {"silent_ms", std::to_string(silence.count() / 1000)}});
  }
  callbacks_.on_peers_changed();
  const Heartbeat own = MakeHeartbeat();
  Send(peers_.ListTargets(now,
                          own.duties.empty() ? kMaxHeartbeatTargets : SIZE_MAX),
       own);
}

Heartbeat PeerExchange::MakeHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.address = self_;
  callbacks_.fill_heartbeat(heartbeat);
  return heartbeat;
}

void PeerExchange::Send(std::span<const SocketAddress> targets,
                        const Heartbeat& heartbeat) {
  if (targets.empty()) {
    return;
  }
  // A process without a configuration counts as one that has just started.
  Heartbeat introduction = heartbeat;
  introduction.config_version = 0;
  const std::string first = EncodeHeartbeat(introduction);
  const std::string repeated = EncodeHeartbeat(heartbeat);
  std::vector<std::string> notices;
  AppendDatagrams<DepartureNotice>(callbacks_.list_departures(),
                                   kMaxDepartureNotices, EncodeDepartureNotices,
                                   notices);
  AppendDatagrams<DrainNotice>(callbacks_.list_drains(), kMaxDrainNotices,
                               EncodeDrainNotices, notices);
  for (const SocketAddress& it : targets) {
    socket_.Send(it,
                 peers_.TakeIntroduction(it, loop_.Now()) ? first : repeated);
    for (const std::string& datagram : notices) {
      socket_.Send(it, datagram);
    }
  }
}

void PeerExchange::HandleVersions(const SocketAddress& address,
                                  uint64_t config_version,
                                  uint64_t endpoints_version) {
  if (fetching_ || pending_fetch_ ||
      !callbacks_.is_newer(config_version, endpoints_version)) {
    return;
  }
  pending_fetch_ = [this, address, config_version, endpoints_version] {
    RenewOrFetchState(address, config_version, endpoints_version);
  };
  fetch_timer_.StartOnce(kFetchDelay);
}

void PeerExchange::RenewOrFetchState(const SocketAddress& address,
                                     uint64_t config_version,
                                     uint64_t endpoints_version) {
  if (!callbacks_.is_newer(config_version, endpoints_version)) {
    return;
  }
  if (!callbacks_.renew_feeds()) {
    FetchState(address, config_version, endpoints_version);
    return;
  }
  pending_fetch_ = [this, address, config_version, endpoints_version] {
    FetchState(address, config_version, endpoints_version);
  };
  fetch_timer_.StartOnce(kFetchDelay);
}

void PeerExchange::FetchState(const SocketAddress& address,
                              uint64_t config_version,
                              uint64_t endpoints_version) {
  if (!callbacks_.is_newer(config_version, endpoints_version)) {
    return;
  }
  fetching_ = true;
  fetch_connection_ = std::make_unique<net::HttpConnection>(loop_, address);
  fetch_connection_->Call(
      {"GET", std::string(kStatePath), {}, {}}, kFetchTimeout,
      [this](std::error_code ec, const net::Reply& reply) {
        fetching_ = false;
        FleetState state;
        if (!ec && reply.status == 200 && DecodeFleetState(reply.body, state)) {
          callbacks_.apply_state(state);
        }
      });
}

}  // namespace magnoliareel
