#include "apps/node/freshness_bound_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "membership/membership.h"

namespace magnoliareel {
namespace {

// A VM that does not answer within this time is treated as unresponsive. Twice
// the time after which the traffic thread asks the primary instead.
constexpr Duration kOwnerResponseTimeout = 2 * kPeerBoundTimeout;
// An unresponsive VM is skipped for this time in favour of the next in rank.
// The heartbeats show within this time whether the VM is alive.
constexpr Duration kUnresponsiveOwnerBackoff = std::chrono::seconds(4);
// Number of highest-ranked VMs that are tried as the owner of a service.
constexpr size_t kMaxOwnerCandidates = 3;

}  // namespace

FreshnessBoundExchange::FreshnessBoundExchange(EventLoop& loop,
                                               const NodeSettings& settings,
                                               const PeerGroup& peers,
                                               Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      peers_(peers),
      callbacks_(std::move(callbacks)),
      responses_(
          loop,
          [this](const std::pair<SocketAddress, FreshnessBoundResponse>& it) {
            callbacks_.send(it.first, EncodeFreshnessBoundResponse(it.second));
          }) {}

const PeerGroup::Peer* FreshnessBoundExchange::FindOwner(
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
  for (const VmId& vm :
       RankOwners(entries, {}, service.value, kMaxOwnerCandidates)) {
    if (const auto it = unresponsive_until_.find(vm);
        it != unresponsive_until_.end() && it->second > now) {
      continue;
    }
    // The list of peers does not contain this VM, so null stands for it.
    const auto owner = std::find_if(
        live.begin(), live.end(),
        [&](const PeerGroup::Peer* it) { return it->last.vm == vm; });
    return owner == live.end() ? nullptr : *owner;
  }
  return nullptr;
}

void FreshnessBoundExchange::SendQuery(const FreshnessBoundQuery& query) {
  ExpirePending();
  const PeerGroup::Peer* owner = FindOwner(query.service);
  if (owner == nullptr) {
    callbacks_.query_primary(query.service);
    return;
  }
  const uint64_t id = next_id_++;
  pending_[id] = {owner->last.vm, loop_.Now()};
  callbacks_.send(
      owner->last.address,
      EncodeFreshnessBoundRequest({id, settings_.peer_address, query}));
}

void FreshnessBoundExchange::HandleDatagram(std::string_view bytes) {
  FreshnessBoundRequest request;
  if (DecodeFreshnessBoundRequest(bytes, request)) {
    callbacks_.answer_query(request.query,
                            [this, id = request.id, address = request.address](
                                const FreshnessBound& bound) {
                              responses_.Post({address, {id, bound}});
                            });
    return;
  }
  FreshnessBoundResponse response;
  if (!DecodeFreshnessBoundResponse(bytes, response)) {
    return;
  }
  if (const auto it = pending_.find(response.id); it != pending_.end()) {
    callbacks_.record_bound(response.bound, it->second.sent_at);
    pending_.erase(it);
  }
}

void FreshnessBoundExchange::ExpirePending() {
  const TimePoint now = loop_.Now();
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now - it->second.sent_at < kOwnerResponseTimeout) {
      ++it;
      continue;
    }
    unresponsive_until_[it->second.owner] = now + kUnresponsiveOwnerBackoff;
    it = pending_.erase(it);
  }
}

}  // namespace magnoliareel
