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
      responses_(loop,
                 [this](const std::pair<SocketAddress, BoundResponse>& it) {
                   hooks_.send(it.first, EncodeBoundResponse(it.second));
                 }) {}

std::optional<VmId> BoundExchange::ChooseKeeper(const ServiceId& service) {
  std::vector<VmEntry> near;
  VmEntry self;
  self.vm = settings_.vm;
  near.push_back(std::move(self));
  for (const PeerGroup::Peer* it : peers_.ListLive()) {
    if (settings_.MeasureDistance(it->last.site) != Distance::kRemote) {
      VmEntry entry;
      entry.vm = it->last.vm;
      near.push_back(std::move(entry));
    }
  }
  const TimePoint now = loop_.Now();
  for (const VmId& it : RankOwners(near, {}, service.value, kRanks)) {
    if (it == settings_.vm) {
      return std::nullopt;
    }
    if (const auto avoided = avoided_until_.find(it);
        avoided == avoided_until_.end() || avoided->second <= now) {
      return it;
    }
  }
  return std::nullopt;
}

void BoundExchange::Ask(const BoundQuestion& question) {
  SweepPending();
  const std::optional<VmId> keeper = ChooseKeeper(question.service);
  if (!keeper) {
    hooks_.ask_primary(question.service);
    return;
  }
  for (const PeerGroup::Peer* it : peers_.ListLive()) {
    if (it->last.vm == *keeper) {
      const uint64_t id = next_id_++;
      pending_[id] = {*keeper, loop_.Now()};
      hooks_.send(it->last.address,
                  EncodeBoundRequest({id, settings_.peer_address, question}));
      return;
    }
  }
}

bool BoundExchange::Handle(std::string_view bytes) {
  BoundRequest request;
  if (DecodeBoundRequest(bytes, request)) {
    hooks_.answer(request.question,
                  [this, id = request.id,
                   address = request.address](const PeerBound& bound) {
                    responses_.Post({address, {id, bound}});
                  });
    return true;
  }
  BoundResponse response;
  if (!DecodeBoundResponse(bytes, response)) {
    return false;
  }
  if (const auto it = pending_.find(response.id); it != pending_.end()) {
    hooks_.take(response.bound, it->second.sent_at);
    pending_.erase(it);
  }
  return true;
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
