#include "tests/interleavings/member_group.h"

#include <algorithm>

namespace magnoliareel {

MemberGroup::MemberGroup(size_t replicas) {
  for (size_t it = 0; it <= replicas; ++it) {
    members_.emplace_back().id = MakeId();
  }
  members_.front().is_primary = true;
  members_.front().led_term = newest_term_;
}

EndpointId MemberGroup::MakeId() {
  return EndpointId{"db-" + std::to_string(++id_count_)};
}

std::optional<size_t> MemberGroup::FindPrimary() const {
  for (size_t it = 0; it < members_.size(); ++it) {
    if (members_[it].is_primary && members_[it].is_running) {
      return it;
    }
  }
  return std::nullopt;
}

std::optional<size_t> MemberGroup::Find(const EndpointId& id) const {
  for (size_t it = 0; it < members_.size(); ++it) {
    if (members_[it].id == id && !members_[it].has_left) {
      return it;
    }
  }
  return std::nullopt;
}

uint32_t MemberGroup::Commit(uint32_t senders) {
  GroupMember& primary = members_[*FindPrimary()];
  const auto commit = static_cast<uint32_t>(commits_.size());
  commits_.push_back({primary.term, false, senders});
  primary.log.push_back(commit);
  return commit;
}

void MemberGroup::ForgetSender(size_t vm) {
  for (GroupCommit& it : commits_) {
    it.senders &= ~(1U << vm);
  }
}

std::vector<std::pair<uint32_t, uint32_t>> MemberGroup::Replicate(
    uint32_t observers) {
  const std::optional<size_t> leader = FindPrimary();
  if (!leader) {
    return {};
  }
  const GroupMember& primary = members_[*leader];
  bool is_received = false;
  for (GroupMember& it : members_) {
    if (it.is_primary || !it.is_running || it.is_deaf ||
        it.paused_at > Term{} || it.term > primary.term) {
      continue;
    }
    it.term = primary.term;
    it.log = primary.log;
    is_received = true;
  }
  std::vector<std::pair<uint32_t, uint32_t>> answered;
  for (const uint32_t it : primary.log) {
    GroupCommit& commit = commits_[it];
    if (is_received && !commit.acknowledged &&
        (commit.senders & observers) != 0) {
      commit.acknowledged = true;
      answered.emplace_back(it, commit.senders & observers);
    }
  }
  return answered;
}

bool MemberGroup::HasWaitingCommit() const {
  const std::optional<size_t> leader = FindPrimary();
  if (!leader || members_[*leader].log.empty()) {
    return false;
  }
  const GroupCommit& latest = commits_[members_[*leader].log.back()];
  return !latest.acknowledged && latest.senders != 0;
}

LogPoint MemberGroup::GetLedEnd(size_t member) const {
  return {members_[member].term, LogPosition{members_[member].log.size()}};
}

LogPoint MemberGroup::GetLogEnd(const GroupMember& member) const {
  if (member.log.empty()) {
    return {};
  }
  return {commits_[member.log.back()].term, LogPosition{member.log.size()}};
}

ReplicationStatus MemberGroup::Execute(size_t index,
                                       const EndpointCommand& command) {
  GroupMember& member = members_[index];
  switch (command.kind) {
    case EndpointCommandKind::kReport:
      break;
    case EndpointCommandKind::kPause:
      if (!member.is_primary && command.term > member.term) {
        member.paused_at = command.term;
      }
      break;
    case EndpointCommandKind::kResume:
      member.paused_at = {};
      break;
    case EndpointCommandKind::kDemote:
      if (member.is_primary && command.term > member.term) {
        // The replicas receive what was sent before; nothing is acknowledged.
        Replicate(0);
        member.is_primary = false;
      }
      break;
  }
  ReplicationStatus status;
  status.is_primary = member.is_primary;
  status.term = member.term;
  status.received = GetLogEnd(member);
  status.paused_at = member.paused_at;
  return status;
}

std::optional<size_t> MemberGroup::Promote(size_t index) {
  if (!members_[index].is_running || members_[index].is_primary) {
    return std::nullopt;
  }
  newest_term_ = newest_term_.Next();
  for (GroupMember& it : members_) {
    it.is_primary = false;
    it.paused_at = {};
  }
  GroupMember& primary = members_[index];
  primary.is_primary = true;
  primary.term = newest_term_;
  primary.led_term = newest_term_;
  size_t lost = 0;
  for (uint32_t it = 0; it < commits_.size(); ++it) {
    const bool is_held = std::find(primary.log.begin(), primary.log.end(),
                                   it) != primary.log.end();
    lost += commits_[it].acknowledged && !is_held ? 1 : 0;
  }
  return lost;
}

size_t MemberGroup::Join() {
  GroupMember& member = members_.emplace_back();
  member.id = MakeId();
  if (const std::optional<size_t> leader = FindPrimary()) {
    member.log = members_[*leader].log;
    member.term = members_[*leader].term;
  }
  return members_.size() - 1;
}

void MemberGroup::Leave(size_t index) {
  Crash(index);
  GroupMember& member = members_[index];
  member.has_left = true;
  member.is_primary = false;
  member.log.clear();
}

void MemberGroup::Crash(size_t index) {
  GroupMember& member = members_[index];
  member.is_running = false;
  member.paused_at = {};
  if (member.is_primary || member.led_term == newest_term_) {
    // Its connections end, and with them the answers to its commits.
    for (const uint32_t it : member.log) {
      commits_[it].senders = 0;
    }
  }
}

void MemberGroup::Restart(size_t index) {
  GroupMember& member = members_[index];
  member.is_running = true;
  member.is_primary = member.is_primary && member.term == newest_term_;
}

bool MemberGroup::MayLeadAgain(size_t index) const {
  const GroupMember& member = members_[index];
  return member.is_running && !member.is_primary &&
         member.led_term == newest_term_;
}

void MemberGroup::LeadAgain(size_t index) {
  Crash(index);
  Restart(index);
  members_[index].is_primary = true;
}

void MemberGroup::RestartUnderNewId(size_t index) {
  Restart(index);
  members_[index].id = MakeId();
}

}  // namespace magnoliareel
