#include "apps/node/peer_exchange.h"

#include <array>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace magnoliareel {
namespace {

// Changes that come together travel in one heartbeat.
constexpr Duration kSoon = std::chrono::milliseconds(15);
// A peer's newer version may just be on its way from the store.
constexpr Duration kFetchDelay = std::chrono::milliseconds(400);
// Longest wait for a peer's state, some hundred kilobytes between regions.
constexpr Duration kFetchTimeout = std::chrono::milliseconds(1500);
// Addresses in an answer to a VM that joins: they fit one datagram.
constexpr size_t kMostOthers = 24;
constexpr std::string_view kStatePath = "/state";
constexpr std::string_view kStatusPath = "/status";

}  // namespace

PeerExchange::PeerExchange(EventLoop& loop,
                           const SocketAddress& self,
                           Hooks hooks)
    : loop_(loop),
      self_(self),
      hooks_(std::move(hooks)),
      peers_(self),
      socket_(loop, [this](std::string_view bytes) { HandleDatagram(bytes); }),
      listener_(loop,
                [this](const net::Request& request,
                       const net::HttpListener::Answer& answer) {
                  Respond(request, answer);
                }),
      period_timer_(loop, [this] { HandlePeriod(); }),
      soon_timer_(loop,
                  [this] {
                    soon_ = false;
                    Send(peers_.ListTargets(loop_.Now(), SIZE_MAX),
                         MakeHeartbeat());
                  }),
      fetch_timer_(loop, [this] {
        if (fetch_) {
          std::exchange(fetch_, nullptr)();
        }
      }) {}

void PeerExchange::Respond(const net::Request& request,
                           const net::HttpListener::Answer& answer) {
  if (request.target == kStatePath) {
    answer({200, EncodeFleetState(hooks_.get_state())});
  } else if (request.target == kStatusPath) {
    answer({200, EncodeNodeStatus(hooks_.get_status())});
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
  period_timer_.StartRepeating(kHeartbeatPeriod);
  return {};
}

void PeerExchange::Learn(const SocketAddress& address) {
  peers_.Learn(address, loop_.Now());
  hooks_.changed();
  SendSoon();
}

void PeerExchange::SendSoon() {
  if (!std::exchange(soon_, true)) {
    soon_timer_.StartOnce(kSoon);
  }
}

void PeerExchange::HandleDatagram(std::string_view bytes) {
  Heartbeat heartbeat;
  if (!DecodeHeartbeat(bytes, heartbeat)) {
    hooks_.handle_other(bytes);
    return;
  }
  if (heartbeat.address == self_) {
    return;
  }
  const TimePoint now = loop_.Now();
  const bool was_leaving = heartbeat.leaving;
  const bool joined = peers_.RecordHeartbeat(heartbeat, now);
  for (const SocketAddress& it : heartbeat.others) {
    peers_.Learn(it, now);
  }
  if (joined) {
    LogEvent(Event::kPeerRegained,
             {{"vm", heartbeat.vm.value},
              {"site", heartbeat.site.value},
              {"live", std::to_string(peers_.CountLive())}});
    Heartbeat welcome = MakeHeartbeat();
    for (const PeerGroup::Peer* it : peers_.ListLive()) {
      if (welcome.others.size() < kMostOthers) {
        welcome.others.push_back(it->last.address);
      }
    }
    Send(std::array{heartbeat.address}, welcome);
  }
  if (joined || was_leaving) {
    hooks_.changed();
  }
  hooks_.heard(heartbeat);
  PlanFetch(heartbeat);
}

void PeerExchange::HandlePeriod() {
  const TimePoint now = loop_.Now();
  const auto lost = peers_.Sweep(now);
  for (const auto& [vm, silent] : lost) {
    LogEvent(Event::kPeerLost,
             {{"vm", vm.value},
              {"silent_ms", std::to_string(silent.count() / 1000)}});
  }
  hooks_.changed();
  const Heartbeat own = MakeHeartbeat();
  Send(peers_.ListTargets(now,
                          own.duties.empty() ? kMaxHeartbeatTargets : SIZE_MAX),
       own);
}

Heartbeat PeerExchange::MakeHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.address = self_;
  hooks_.fill(heartbeat);
  return heartbeat;
}

void PeerExchange::Send(std::span<const SocketAddress> targets,
                        const Heartbeat& heartbeat) {
  if (targets.empty()) {
    return;
  }
  const std::string bytes = EncodeHeartbeat(heartbeat);
  for (const SocketAddress& it : targets) {
    socket_.Send(it, bytes);
  }
}

void PeerExchange::PlanFetch(const Heartbeat& heartbeat) {
  if (fetching_ || fetch_ ||
      !hooks_.is_newer(heartbeat.config_version, heartbeat.endpoints_version)) {
    return;
  }
  fetch_ = [this, address = heartbeat.address,
            config = heartbeat.config_version,
            endpoints = heartbeat.endpoints_version] {
    Fetch(address, config, endpoints);
  };
  fetch_timer_.StartOnce(kFetchDelay);
}

void PeerExchange::Fetch(const SocketAddress& address,
                         uint64_t config_version,
                         uint64_t endpoints_version) {
  if (!hooks_.is_newer(config_version, endpoints_version)) {
    return;
  }
  fetching_ = true;
  source_ = std::make_unique<net::HttpConnection>(loop_, address);
  source_->Call(
      {"GET", std::string(kStatePath), {}, {}}, kFetchTimeout,
      [this](std::error_code ec, const net::Reply& reply) {
        fetching_ = false;
        FleetState state;
        if (!ec && reply.status == 200 && DecodeFleetState(reply.body, state)) {
          hooks_.take_state(state);
        }
      });
}

}  // namespace magnoliareel
