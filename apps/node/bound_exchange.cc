#include "apps/node/bound_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "membership/membership.h"

namespace magnoliareel {
namespace {

// A VM that has not answered within this is taken for lost: twice the time
// after which the traffic asks the primary instead.
constexpr Duration kSilentAfter = 2 * kPeerBoundWait;
// For how long the next one in rank is asked instead; by then the heartbeats
// tell whether it lives.
constexpr Duration kAvoided = std::chrono::seconds(4);
// VMs in rank that may stand in for each other.
constexpr size_t kRanks = 3;

}  // namespace

BoundExchange::BoundExchange(EventLoop& loop,
                             const NodeSettings& settings,
                             const PeerGroup& peers,
                             Hooks hooks)
    : loop_(loop),
      settings_(settings),
      peers_(peers),
      hooks_(std::move(hooks)),
      responses_(
          loop,
          [this](const std::pair<SocketAddress, FreshnessBoundResponse>& it) {
            hooks_.send(it.first, EncodeFreshnessBoundResponse(it.second));
          }) {}

const PeerGroup::Peer* BoundExchange::ChooseKeeper(
    const ServiceId& service) const {
  std::vector<VmEntry> entries(1);
  entries.front().vm = settings_.vm;
  const std::vector<const PeerGroup::Peer*> live = peers_.ListLive();
  for (const PeerGroup::Peer* it : live) {
    if (settings_.MeasureDistance(it->last.site) != Distance::kRemote) {
      entries.emplace_back().vm = it->last.vm;
    }
  }
  const TimePoint now = loop_.Now();
  for (const VmId& vm : RankOwners(entries, {}, service.value, kRanks)) {
    if (const auto it = avoided_until_.find(vm);
        it != avoided_until_.end() && it->second > now) {
      continue;
    }
    // This VM is not among the peers.
    const auto keeper = std::find_if(
        live.begin(), live.end(),
        [&](const PeerGroup::Peer* it) { return it->last.vm == vm; });
    return keeper == live.end() ? nullptr : *keeper;
  }
  return nullptr;
}

void BoundExchange::Ask(const BoundQuestion& question) {
  SweepPending();
  const PeerGroup::Peer* keeper = ChooseKeeper(question.service);
  if (keeper == nullptr) {
    hooks_.ask_primary(question.service);
    return;
  }
  const uint64_t id = next_id_++;
  pending_[id] = {keeper->last.vm, loop_.Now()};
  hooks_.send(
      keeper->last.address,
      EncodeFreshnessBoundRequest({id, settings_.peer_address, question}));
}

void BoundExchange::Handle(std::string_view bytes) {
  FreshnessBoundRequest request;
  if (DecodeFreshnessBoundRequest(bytes, request)) {
    hooks_.answer(request.question,
                  [this, id = request.id,
                   address = request.address](const PeerBound& bound) {
                    responses_.Post({address, {id, bound}});
                  });
    return;
  }
  FreshnessBoundResponse response;
  if (!DecodeFreshnessBoundResponse(bytes, response)) {
    return;
  }
  if (const auto it = pending_.find(response.id); it != pending_.end()) {
    hooks_.take(response.bound, it->second.sent_at);
    pending_.erase(it);
  }
}

void BoundExchange::SweepPending() {
  const TimePoint now = loop_.Now();
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now - it->second.sent_at < kSilentAfter) {
      ++it;
      continue;
    }
    avoided_until_[it->second.keeper] = now + kAvoided;
    it = pending_.erase(it);
  }
}

}  // namespace magnoliareel
