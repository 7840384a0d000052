#include "control/peers/peer_group.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {

bool PeerGroup::Learn(const SocketAddress& address, TimePoint now) {
  return address != self_ &&
         addresses_.try_emplace(address, AddressState{now, {}, false, {}})
             .second;
}

bool PeerGroup::RecordHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  if (heartbeat.address == self_) {
    return false;
  }
  Learn(heartbeat.address, now);
  addresses_[heartbeat.address].vm = heartbeat.vm;
  Peer& peer = peers_[heartbeat.vm];
  // A process that has started anew has no configuration at first.
  const bool has_restarted =
      heartbeat.config_version == 0 && peer.last.config_version != 0;
  const bool fresh = !peer.live || has_restarted;
  peer.last = heartbeat;
  peer.heard_at = now;
  peer.live = !heartbeat.leaving;
  return fresh && peer.live;
}

std::vector<std::pair<VmId, Duration>> PeerGroup::Sweep(TimePoint now) {
  std::vector<std::pair<VmId, Duration>> lost;
  for (auto& [vm, peer] : peers_) {
    if (peer.live && now - peer.heard_at >= GetTimeout(peer)) {
      peer.live = false;
      lost.emplace_back(vm, now - peer.heard_at);
    }
  }
  std::erase_if(addresses_, [&](const auto& row) {
    const auto it = peers_.find(row.second.vm);
    const TimePoint last =
        it == peers_.end()
            ? row.second.first_tried
            : std::max(it->second.heard_at, row.second.first_tried);
    return now - last >= kSilentPeerRetention;
  });
  return lost;
}

Duration PeerGroup::GetTimeout(const Peer& peer) const {
  if (!peer.last.duties.empty()) {
    return kPeerTimeout;
  }
  // The peer may miss three turns, just as a duty holder may miss three
  // heartbeats.
  const auto turns =
      (CountLive() - 1) / static_cast<uint32_t>(kMaxHeartbeatTargets);
  return kPeerTimeout + 3 * turns * kHeartbeatPeriod;
}

// It serves its callers until it stops, and has to know which primary is being
// replaced.
bool PeerGroup::IsLeaving(const Peer& peer, TimePoint now) {
  return peer.last.leaving && now - peer.heard_at < kPeerTimeout;
}

std::vector<SocketAddress> PeerGroup::ListTargets(TimePoint now,
                                                  size_t max_live) {
  std::vector<SocketAddress> targets;
  std::vector<std::pair<TimePoint, SocketAddress>> live;
  for (auto& [address, state] : addresses_) {
    const auto it = peers_.find(state.vm);
    if (it != peers_.end() && (it->second.live || IsLeaving(it->second, now))) {
      live.emplace_back(state.tried_at, address);
      continue;
    }
    // A new address is tried more often, as its VM may be starting.
    const bool is_new = now - state.first_tried < kPeerTimeout;
    if (now - state.tried_at >=
        (is_new ? kNewPeerRetryInterval : kLostPeerRetryInterval)) {
      state.tried_at = now;
      targets.push_back(address);
    }
  }
  std::sort(live.begin(), live.end());
  live.resize(std::min(live.size(), max_live));
  for (auto& [tried_at, address] : live) {
    addresses_[address].tried_at = now;
    targets.push_back(std::move(address));
  }
  return targets;
}

bool PeerGroup::TakeWelcome(const SocketAddress& address, TimePoint now) {
  AddressState& state = addresses_[address];
  const bool is_new = now - state.first_tried < kPeerTimeout;
  if (is_new && now - state.tried_at < kNewPeerRetryInterval) {
    return false;
  }
  state.tried_at = now;
  return true;
}

bool PeerGroup::TakeIntroduction(const SocketAddress& address, TimePoint now) {
  if (!introduced_since_) {
    introduced_since_ = now;
  }
  if (now - *introduced_since_ >= kPeerTimeout) {
    return false;
  }
  AddressState& state =
      addresses_.try_emplace(address, AddressState{now, {}, false, {}})
          .first->second;
  return !std::exchange(state.is_introduced, true);
}

std::vector<const PeerGroup::Peer*> PeerGroup::ListLive() const {
  std::vector<const Peer*> live;
  for (const auto& [vm, peer] : peers_) {
    if (peer.live) {
      live.push_back(&peer);
    }
  }
  return live;
}

std::vector<const PeerGroup::Peer*> PeerGroup::ListRunning(
    TimePoint now) const {
  std::vector<const Peer*> running;
  for (const auto& [vm, peer] : peers_) {
    if (peer.live || IsLeaving(peer, now)) {
      running.push_back(&peer);
    }
  }
  return running;
}

uint32_t PeerGroup::CountExpected(TimePoint now) const {
  const auto unheard =
      std::count_if(addresses_.begin(), addresses_.end(), [&](const auto& row) {
        return row.second.vm.IsEmpty() &&
               now - row.second.first_tried < kPeerTimeout;
      });
  return CountLive() + static_cast<uint32_t>(unheard);
}

uint32_t PeerGroup::CountKnown() const {
  const auto known =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) {
        return !row.second.last.leaving &&
               addresses_.contains(row.second.last.address);
      });
  return 1 + static_cast<uint32_t>(known);
}

bool PeerGroup::HearsMost(TimePoint now) const {
  const auto turns =
      (CountLive() - 1) / static_cast<uint32_t>(kMaxHeartbeatTargets);
  const Duration limit = (1 + turns) * kHeartbeatPeriod + kHeartbeatPeriod / 2;
  const auto heard =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) {
        return !row.second.last.leaving && now - row.second.heard_at < limit;
      });
  return 2 * (1 + static_cast<uint32_t>(heard)) > CountKnown();
}

uint32_t PeerGroup::CountLive() const {
  return 1 + static_cast<uint32_t>(std::count_if(
                 peers_.begin(), peers_.end(),
                 [](const auto& row) { return row.second.live; }));
}

}  // namespace magnoliareel
