#include "tests/soak/membership_faults.h"

#include <string>
#include <utility>

#include "tests/soak/action_output.h"

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

// Pause between two attempts to end a member that is draining.
constexpr Duration kLeaveRetryBackoff = milliseconds(100);

}  // namespace

MembershipFaults::MembershipFaults(
    EventLoop& loop,
    SiteServer& site,
    DatabaseFaults& databases,
    std::span<const std::unique_ptr<LinkProxy>> proxies,
    size_t node_count,
    uint64_t seed,
    bool& is_database_down)
    : loop_(loop),
      site_(site),
      databases_(databases),
      proxies_(proxies),
      node_count_(node_count),
      random_(seed),
      is_database_down_(is_database_down) {}

Duration MembershipFaults::ChooseDuration(int64_t min_ms, int64_t max_ms) {
  const auto span = static_cast<size_t>(max_ms - min_ms + 1);
  return milliseconds(min_ms + static_cast<int64_t>(Choose(span)));
}

std::optional<size_t> MembershipFaults::FindPrimary() const {
  const GroupModel& group = site_.GetGroup();
  for (size_t it = 0; it < group.CountMembers(); ++it) {
    if (group.HasPrimaryRole(it) && group.IsRunning(it)) {
      return it;
    }
  }
  return std::nullopt;
}

void MembershipFaults::Schedule(int64_t count, Duration period) {
  const int64_t period_ms =
      std::chrono::duration_cast<milliseconds>(period).count();
  for (int64_t n = 0; n < count; ++n) {
    RunLater(loop_, ChooseDuration(0, period_ms), [this] { InjectFault(); });
  }
}

void MembershipFaults::InjectFault() {
  if (has_ended_) {
    return;
  }
  const size_t member = Choose(proxies_.size());
  const Duration duration = ChooseDuration(300, 3000);
  switch (Choose(6)) {
    case 0:
      StopReplication(member, duration);
      return;
    case 1:
      CutLink(Choose(node_count_), member, duration);
      return;
    case 2:
      ReplaceMember(member, duration, [] {});
      return;
    default:
      CutPrimaryWhileReplicaJoins();
      return;
  }
}

void MembershipFaults::StopReplication(size_t member, Duration duration) {
  if (has_ended_) {
    return;
  }
  databases_.Inject("deaf", member);
  RunLater(loop_, duration,
           [this, member] { databases_.Inject("hear", member); });
}

void MembershipFaults::CutLink(size_t node, size_t member, Duration duration) {
  if (has_ended_) {
    return;
  }
  const std::string vm = "node-" + std::to_string(node + 1);
  // Every second cut; random choices would change those that follow.
  if (refuses_cut_nodes_ && ++cut_count_ % 2 == 0) {
    proxies_[member]->RefuseVm(vm);
    PrintAction("fault refuse-" + vm, member);
  } else {
    proxies_[member]->CutVm(vm);
    PrintAction("fault cut-" + vm, member);
  }
  RunLater(loop_, duration, [this, vm, member] {
    proxies_[member]->ReconnectVm(vm);
    PrintAction("fault reconnect-" + vm, member);
  });
}

void MembershipFaults::CutFromSomeNodes(size_t member, Duration duration) {
  const size_t reaching = Choose(node_count_);
  const bool cuts_all_others = Choose(2) == 0;
  for (size_t it = 0; it < node_count_; ++it) {
    if (it != reaching && (cuts_all_others || Choose(2) == 0)) {
      CutLink(it, member, duration);
    }
  }
}

void MembershipFaults::ReplaceMember(size_t member,
                                     Duration absence,
                                     std::function<void()> left) {
  if (has_ended_ || std::exchange(is_replacing_, true)) {
    return;
  }
  databases_.Inject("drain", member);
  RunLater(loop_, ChooseDuration(200, 800),
           [this, member, absence, left = std::move(left)] {
             EndDrainedMember(member, absence, left);
           });
}

void MembershipFaults::EndDrainedMember(size_t member,
                                        Duration absence,
                                        std::function<void()> left) {
  if (has_ended_) {
    return;
  }
  const std::optional<size_t> primary = FindPrimary();
  if (!primary || *primary == member || is_database_down_) {
    RunLater(loop_, kLeaveRetryBackoff,
             [this, member, absence, left = std::move(left)] {
               EndDrainedMember(member, absence, left);
             });
    return;
  }
  is_database_down_ = true;
  databases_.Inject("leave", member);
  left();
  RunLater(loop_, absence, [this, member] { JoinIfLeft(member); });
}

void MembershipFaults::JoinIfLeft(size_t member) {
  if (!site_.GetGroup().HasLeft(member)) {
    return;
  }
  databases_.Inject("join", member);
  is_database_down_ = false;
  is_replacing_ = false;
}

void MembershipFaults::JoinBehindPromotion() {
  const Duration delay = ChooseDuration(0, 300);
  for (size_t it = 0; it < proxies_.size(); ++it) {
    RunLater(loop_, delay, [this, it] { JoinIfLeft(it); });
  }
}

void MembershipFaults::CutPrimaryWhileReplicaJoins() {
  const std::optional<size_t> primary = FindPrimary();
  if (!primary) {
    return;
  }
  const size_t leaving = (*primary + 1 + Choose(2)) % proxies_.size();
  ReplaceMember(leaving, ChooseDuration(2500, 5000),
                [this, leaving] { StallCommitsBehindCut(leaving); });
}

// While a member is absent, the other replica first receives what the departed
// one had and then receives nothing, so that commits stall. Some nodes don't
// reach the primary. The new member, which joins behind the promotion at the
// latest, lets the primary acknowledge commits again.
void MembershipFaults::StallCommitsBehindCut(size_t absent) {
  const Duration delay = ChooseDuration(300, 2000);
  const Duration duration = ChooseDuration(2000, 4000);
  const Duration cut_delay = delay + ChooseDuration(-300, 300);
  RunLater(loop_, delay, [this, absent, duration] {
    for (size_t it = 0; it < proxies_.size(); ++it) {
      if (it != absent && !site_.GetGroup().HasPrimaryRole(it)) {
        StopReplication(it, duration);
      }
    }
  });
  RunLater(loop_, cut_delay, [this, duration] {
    if (const std::optional<size_t> it = FindPrimary()) {
      CutFromSomeNodes(*it, duration);
    }
  });
}

void MembershipFaults::End() {
  has_ended_ = true;
  for (size_t it = 0; it < proxies_.size(); ++it) {
    databases_.Inject("hear", it);
    JoinIfLeft(it);
    proxies_[it]->ReconnectVms();
  }
}

}  // namespace magnoliareel
