// The hash of the state, by which the search recognises states.

#include "tests/interleavings/search_world.h"

namespace magnoliareel {
namespace {

uint64_t CountMicroseconds(TimePoint at) {
  return static_cast<uint64_t>(at.time_since_epoch().count());
}

}  // namespace

void SearchWorld::AddMembers(StateHash& hash) const {
  const auto& members = group_.GetMembers();
  for (size_t it = 0; it < members.size(); ++it) {
    const GroupMember& member = members[it];
    const Registration& registration = registrations_[it];
    hash.Add(member.id.value)
        .Add((member.is_running ? 1U : 0U) + (member.has_left ? 2U : 0U) +
             (member.is_primary ? 4U : 0U) + (member.is_draining ? 8U : 0U) +
             (member.is_deaf ? 16U : 0U) +
             (hosts_down_.contains(it) ? 32U : 0U))
        .Add(member.term.value)
        .Add(member.paused_at.value)
        .Add(member.led_term.value)
        .Add(member.log.size())
        .Add(CountMicroseconds(registration.listed_at))
        .Add(CountMicroseconds(registration.expires_at.value_or(TimePoint{})));
    for (const uint32_t commit : member.log) {
      hash.Add(commit);
    }
  }
  for (const GroupCommit& it : group_.GetCommits()) {
    hash.Add(it.term.value * 2 + (it.acknowledged ? 1U : 0U)).Add(it.senders);
  }
  for (const EndpointEntry& it : directory_) {
    hash.Add(it.id.value)
        .Add((it.claims_primary ? 1U : 0U) + (it.draining ? 2U : 0U));
  }
}

void SearchWorld::AddServices(StateHash& hash) const {
  for (const auto& [vm, member] : cuts_) {
    hash.Add(vm).Add(member);
  }
  for (const auto& [vm, member] : refusals_) {
    hash.Add(vm).Add(member + 100);
  }
  for (const auto& [member, until] : overloaded_until_) {
    hash.Add(member).Add(CountMicroseconds(until));
  }
  const bool flags[] = {are_peers_cut_,      is_publication_scheduled_,
                        is_order_slow_,      is_order_answer_lost_,
                        is_command_delayed_, is_store_answer_lost_,
                        has_joined_,         has_drained_,
                        has_lost_vms_,       has_vm_failed_,
                        are_orders_slow_,    are_ordered_deaf_};
  for (const bool it : flags) {
    hash.Add(it ? 1U : 0U);
  }
  for (const uint64_t it : commands_behind_order_) {
    hash.Add(it);
  }
  hash.Add(loses_answer_ ? *loses_answer_ + 1 : 0);
  hash.Add(departures_).Add(highest_fencing_token_).Add(row_.version);
  hash.Add(CountMicroseconds(listings_blocked_until_));
  hash.Add(CountMicroseconds(order_answers_lost_until_));
  hash.Add(CountMicroseconds(waiting_since_.value_or(TimePoint{})));
  DutyRow row;
  if (row_.version > 0 && FakeDutyRowCodec::Decode(row_.value, row)) {
    hash.Add(row.holder.value).Add(row.group.primary.value);
    hash.Add(row.group.term.value);
    for (const EndpointId& it : row.group.members) {
      hash.Add(it.value);
    }
  }
}

uint64_t SearchWorld::HashState(const ChoicePoint& point) const {
  StateHash hash;
  hash.Add(CountMicroseconds(now_))
      .Add(static_cast<uint64_t>(point.kind))
      .Add(point.vm)
      .Add(point.member);
  AddMembers(hash);
  AddServices(hash);
  for (const SearchVm* it : vms_) {
    hash.Add(it == nullptr ? 0 : it->GetHistory());
    if (it != nullptr) {
      it->AddAnswers(hash);
    }
  }
  for (const auto& [at, task] : tasks_) {
    if (task.tag != 0) {
      hash.Add(CountMicroseconds(at)).Add(task.tag);
    }
  }
  return hash.Get();
}

}  // namespace magnoliareel
