// Faults, and their end.

#include <algorithm>
#include <utility>

#include "tests/interleavings/search_world.h"

namespace magnoliareel {
namespace {

constexpr Duration kListingDelay = std::chrono::milliseconds(250);
constexpr Duration kRemovalDelay = std::chrono::milliseconds(100);
// Three reports of 2 s, and the time for which the VMs keep the entry.
constexpr Duration kExpiry = std::chrono::milliseconds(8500);
constexpr Duration kDrainTime = std::chrono::milliseconds(2500);
constexpr Duration kVmRestartDelay = std::chrono::milliseconds(500);
// Longer than kPeerTimeout, so that the other VM takes over.
constexpr Duration kVmFreeze = std::chrono::seconds(4);
constexpr Duration kBriefCrash = std::chrono::milliseconds(400);
constexpr Duration kOverloadTime = std::chrono::milliseconds(500);
constexpr Duration kLostOrderAnswers = std::chrono::milliseconds(4500);
constexpr size_t kMaxDepartures = 2;

}  // namespace

void SearchWorld::AddMemberFaults(const ChoicePoint& point,
                                  size_t it,
                                  std::vector<Fault>& list) const {
  const GroupMember& member = group_.GetMembers()[it];
  const bool is_commit = point.kind == PointKind::kCommit;
  const bool is_addressed =
      point.kind == PointKind::kCommand && point.member == it;
  // A primary that drains is sent commands, at which the same is offered.
  const bool is_noticed = is_addressed || !has_drained_;
  if (!member.is_running) {
    const auto& expiry = registrations_[it].expires_at;
    if (is_commit && !member.has_left && expiry && now_ >= *expiry) {
      list.push_back({FaultKind::kReturnUnderNewId, it, 0});
    }
    return;
  }
  if (member.paused_at > Term{} &&
      (point.kind != PointKind::kCommand || is_addressed)) {
    list.push_back({FaultKind::kRestartPaused, it, 0});
    list.push_back({FaultKind::kLateResume, it, 0});
  }
  for (size_t vm = 0; vm < kVms; ++vm) {
    if (((is_commit && member.is_primary) ||
         (is_addressed && point.vm == vm)) &&
        IsConnected(vm, it)) {
      list.push_back({FaultKind::kCutVm, vm, it});
      if (is_noticed) {
        list.push_back({FaultKind::kRefuseVm, vm, it});
      }
    }
  }
  if (is_addressed && !overloaded_until_.contains(it)) {
    list.push_back({FaultKind::kOverload, it, 0});
  }
  if (group_.MayLeadAgain(it) && !member.is_draining &&
      (point.kind != PointKind::kCommand || is_addressed)) {
    list.push_back({FaultKind::kLeadAgain, it, 0});
  }
  const bool is_ordered = point.kind == PointKind::kOrder && point.member == it;
  if ((is_commit || is_ordered) && !member.is_primary && !member.is_deaf) {
    list.push_back({FaultKind::kDeafen, it, 0});
  }
  if (is_commit || is_addressed) {
    list.push_back({FaultKind::kCrash, it, 0});
    if (member.is_primary) {
      list.push_back({FaultKind::kGoDown, it, 0});
      if (is_noticed) {
        list.push_back({FaultKind::kCrashBriefly, it, 0});
      }
    }
    if (!member.is_primary && departures_ < kMaxDepartures) {
      list.push_back({FaultKind::kLeave, it, 0});
    }
  }
}

std::vector<Fault> SearchWorld::ListFaults(const ChoicePoint& point) const {
  std::vector<Fault> list;
  for (size_t it = 0; it < group_.GetMembers().size(); ++it) {
    AddMemberFaults(point, it, list);
  }
  const bool is_commit = point.kind == PointKind::kCommit;
  if (!has_joined_) {
    list.push_back({FaultKind::kJoin, 0, 0});
  }
  if (is_commit) {
    list.push_back({FaultKind::kDeafenAll, 0, 0});
    for (size_t vm = 0; vm < kVms; ++vm) {
      list.push_back({FaultKind::kFirstReply, vm, 0});
    }
    if (!are_peers_cut_) {
      list.push_back({FaultKind::kCutPeers, 0, 0});
    }
    if (!has_drained_ && group_.FindPrimary()) {
      list.push_back({FaultKind::kDrain, 0, 0});
    }
  }
  if (!has_lost_vms_ && point.kind != PointKind::kCommand) {
    list.push_back({FaultKind::kLoseVms, 0, 0});
  }
  if (point.kind == PointKind::kListing) {
    list.push_back({FaultKind::kDelayListing, 0, 0});
  }
  if (point.kind == PointKind::kOrder) {
    if (!are_orders_slow_) {
      list.push_back({FaultKind::kSlowOrder, 0, 0});
    }
    list.push_back({FaultKind::kLoseOrderAnswer, 0, 0});
    list.push_back({FaultKind::kLoseOrderAnswers, 0, 0});
    if (!has_vm_failed_) {
      list.push_back({FaultKind::kLoseVm, point.vm, 0});
      list.push_back({FaultKind::kFreezeVm, point.vm, 0});
    }
  }
  if (point.kind == PointKind::kCommand) {
    list.push_back({FaultKind::kLoseCommandAnswer, point.member, 0});
    list.push_back({FaultKind::kDelayCommand, 0, 0});
  }
  if (point.kind == PointKind::kRowWrite) {
    list.push_back({FaultKind::kLoseStoreAnswer, 0, 0});
  }
  return list;
}

void SearchWorld::Inject(const Fault& fault) {
  Note("FAULT: " + DescribeFault(fault));
  switch (fault.kind) {
    case FaultKind::kCutPeers:
      are_peers_cut_ = true;
      return;
    case FaultKind::kDrain:
      StartDrain();
      return;
    case FaultKind::kLoseVms:
    case FaultKind::kLoseVm:
    case FaultKind::kFreezeVm:
    case FaultKind::kFirstReply:
      InjectAtVm(fault);
      return;
    case FaultKind::kDelayListing:
      listings_blocked_until_ = now_ + options_.listing_delay;
      return;
    case FaultKind::kSlowOrder:
      is_order_slow_ = true;
      return;
    case FaultKind::kSlowOrders:
      are_orders_slow_ = true;
      return;
    case FaultKind::kDeafenOrdered:
      are_ordered_deaf_ = true;
      return;
    case FaultKind::kLoseOrderAnswers:
      order_answers_lost_until_ = now_ + kLostOrderAnswers;
      return;
    case FaultKind::kLoseOrderAnswer:
      is_order_answer_lost_ = true;
      return;
    case FaultKind::kLoseCommandAnswer:
      loses_answer_ = fault.subject;
      return;
    case FaultKind::kDelayCommand:
      is_command_delayed_ = true;
      return;
    case FaultKind::kLoseStoreAnswer:
      is_store_answer_lost_ = true;
      return;
    default:
      InjectAtMember(fault);
      return;
  }
}

void SearchWorld::InjectAtVm(const Fault& fault) {
  if (fault.kind == FaultKind::kLoseVms) {
    has_lost_vms_ = true;
    for (size_t it = 0; it < kVms; ++it) {
      LoseVm(it);
    }
    return;
  }
  SearchVm* vm = vms_[fault.subject];
  if (vm == nullptr) {
    return;
  }
  switch (fault.kind) {
    case FaultKind::kLoseVm:
      has_vm_failed_ = true;
      LoseVm(fault.subject);
      return;
    case FaultKind::kFreezeVm:
      has_vm_failed_ = true;
      vm->FreezeUntil(now_ + kVmFreeze);
      return;
    default:
      vm->Deliver([vm] { vm->ReceiveFirstReply(); });
      return;
  }
}

void SearchWorld::InjectAtMember(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kCutVm:
      cuts_.emplace(fault.subject, fault.object);
      return;
    case FaultKind::kRefuseVm:
      refusals_.emplace(fault.subject, fault.object);
      return;
    case FaultKind::kOverload:
      overloaded_until_[fault.subject] = now_ + kOverloadTime;
      return;
    case FaultKind::kLeadAgain:
      group_.LeadAgain(fault.subject);
      PublishLater(kListingDelay);
      Replicate();
      return;
    case FaultKind::kDeafen:
      group_.Edit(fault.subject).is_deaf = true;
      return;
    case FaultKind::kDeafenAll:
      for (size_t it = 0; it < group_.GetMembers().size(); ++it) {
        group_.Edit(it).is_deaf = !group_.GetMembers()[it].is_primary;
      }
      return;
    case FaultKind::kJoin:
      has_joined_ = true;
      group_.Join();
      registrations_.push_back({now_ + kListingDelay, std::nullopt});
      PublishLater(kListingDelay);
      Replicate();
      return;
    case FaultKind::kLeave:
      CrashMember(fault.subject, true);
      return;
    case FaultKind::kCrash:
      CrashMember(fault.subject, false);
      return;
    case FaultKind::kGoDown:
      hosts_down_.insert(fault.subject);
      CrashMember(fault.subject, false);
      return;
    case FaultKind::kCrashBriefly:
      CrashBriefly(fault.subject);
      return;
    case FaultKind::kReturnUnderNewId:
      ++departures_;
      hosts_down_.erase(fault.subject);
      group_.RestartUnderNewId(fault.subject);
      registrations_[fault.subject] = {now_ + kListingDelay, std::nullopt};
      PublishLater(kListingDelay);
      return;
    case FaultKind::kRestartPaused:
      group_.Crash(fault.subject);
      group_.Restart(fault.subject);
      group_.Edit(fault.subject).is_deaf = false;
      Replicate();
      return;
    case FaultKind::kLateResume:
      group_.Execute(fault.subject, {EndpointCommandKind::kResume, {}});
      Replicate();
      return;
    default:
      return;
  }
}

void SearchWorld::CrashMember(size_t member, bool leaves) {
  const Duration delay = leaves ? kRemovalDelay : kExpiry;
  if (leaves) {
    ++departures_;
    group_.Leave(member);
  } else {
    group_.Crash(member);
  }
  registrations_[member].expires_at = now_ + delay;
  PublishLater(delay);
  Replicate();
}

void SearchWorld::CrashBriefly(size_t member) {
  group_.Crash(member);
  Schedule(now_ + kBriefCrash, 18 + (member << 8U), {}, [this, member] {
    if (!group_.GetMembers()[member].has_left) {
      group_.Restart(member);
      PublishLater(kListingDelay);
      Replicate();
    }
  });
}

void SearchWorld::StartDrain() {
  has_drained_ = true;
  const size_t member = *group_.FindPrimary();
  group_.Edit(member).is_draining = true;
  PublishLater(kListingDelay);
  // Its log is transferred to a new endpoint.
  Schedule(now_ + kDrainTime, 14, {}, [this, member] {
    if (!group_.GetMembers()[member].is_running) {
      return;
    }
    group_.Crash(member);
    registrations_[member].expires_at = now_ + kRemovalDelay;
    PublishLater(kRemovalDelay);
    Schedule(now_ + 2 * kRemovalDelay, 15, {}, [this, member] {
      ++departures_;
      group_.RestartUnderNewId(member);
      group_.Edit(member).is_primary = false;
      group_.Edit(member).is_draining = false;
      registrations_[member] = {now_ + kListingDelay, std::nullopt};
      PublishLater(kListingDelay);
    });
  });
}

void SearchWorld::LoseVm(size_t vm) {
  if (vms_[vm] == nullptr) {
    return;
  }
  std::exchange(vms_[vm], nullptr)->Kill();
  group_.ForgetSender(vm);
  Schedule(now_ + kVmRestartDelay, 16 + (vm << 8U), {}, [this, vm] {
    StartVm(vm);
    FleetView view = MakeView();
    view.endpoints = directory_;
    vms_[vm]->Apply(view);
  });
}

void SearchWorld::Heal() {
  cuts_.clear();
  refusals_.clear();
  are_peers_cut_ = false;
  bool is_crashed = false;
  for (size_t it = 0; it < group_.GetMembers().size(); ++it) {
    group_.Edit(it).is_deaf = false;
    const GroupMember& member = group_.GetMembers()[it];
    is_crashed = is_crashed || (!member.is_running && !member.has_left);
  }
  Note("cuts and deafness end");
  Replicate();
  if (!is_crashed) {
    healed_at_ = now_;
    commits_at_heal_ = group_.GetCommits().size();
  }
}

void SearchWorld::RestartMembers() {
  if (healed_at_) {
    return;
  }
  for (size_t it = 0; it < group_.GetMembers().size(); ++it) {
    const GroupMember& member = group_.GetMembers()[it];
    if (member.is_running || member.has_left) {
      continue;
    }
    group_.Restart(it);
    hosts_down_.erase(it);
    registrations_[it] = {now_ + kListingDelay, std::nullopt};
    PublishLater(kListingDelay);
  }
  Note("crashed endpoints are back");
  Replicate();
  healed_at_ = now_;
  commits_at_heal_ = group_.GetCommits().size();
}

}  // namespace magnoliareel
