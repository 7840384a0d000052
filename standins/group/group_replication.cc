// How commits reach replicas, and how the lead changes.

#include <algorithm>
#include <utility>

#include "standins/group/group_model.h"

namespace magnoliareel {

void GroupModel::Replicate(size_t commit) {
  for (size_t it = 0; it < members_.size(); ++it) {
    if (!members_[it].leads) {
      timer_(AddJitter(options_.receive_delay),
             [this, it, commit, lifetime = members_[it].lifetime] {
               Receive(it, commit, lifetime);
             });
    }
  }
}

void GroupModel::Receive(size_t index, size_t commit, uint64_t lifetime) {
  Member& member = members_[index];
  if (!member.up || member.lifetime != lifetime || member.leads) {
    return;
  }
  SynchronizeLog(index);
  (void)commit;
}

// A replica takes the leader's whole log as far as it is received: records
// arrive in order, and a gap is filled by the next one.
void GroupModel::SynchronizeLog(size_t index) {
  Member& member = members_[index];
  const auto leader =
      std::find_if(members_.begin(), members_.end(), [&](const Member& it) {
        return it.leads && it.up && it.term >= member.term;
      });
  if (!member.up || member.leads || leader == members_.end() ||
      member.paused_at > Term{} || member.cut || leader->cut) {
    return;
  }
  member.term = leader->term;
  const auto same = std::mismatch(member.log.begin(), member.log.end(),
                                  leader->log.begin(), leader->log.end());
  const auto kept = static_cast<size_t>(same.first - member.log.begin());
  member.log = leader->log;
  member.applied = std::min(member.applied, kept);
  const auto delay = Duration(static_cast<int64_t>(
      static_cast<double>(AddJitter(options_.apply_delay).count()) *
      apply_delay_factor_));
  timer_(delay,
         [this, index, n = member.log.size(), lifetime = member.lifetime] {
           Member& it = members_[index];
           if (it.lifetime == lifetime) {
             it.applied = std::max(it.applied, std::min(n, it.log.size()));
           }
         });
}

int GroupModel::Promote(std::string_view id, uint64_t fencing_token) {
  const auto it =
      std::find_if(members_.begin(), members_.end(),
                   [&](const Member& member) { return member.id == id; });
  if (it == members_.end() || !it->up || fencing_token < newest_token_) {
    return 409;
  }
  newest_token_ = fencing_token;
  if (it->leads) {
    return 200;
  }
  newest_term_ = newest_term_.Next();
  timer_(options_.promotion,
         [this, member = static_cast<size_t>(it - members_.begin()),
          term = newest_term_] { ApplyPromotion(member, term); });
  return 200;
}

void GroupModel::ApplyPromotion(size_t index, Term term) {
  if (!members_[index].up || term < newest_term_) {
    return;
  }
  for (Member& it : members_) {
    it.leads = false;
  }
  Member& leader = members_[index];
  leader.leads = true;
  leader.term = term;
  leader.applied = leader.log.size();
  for (Member& it : members_) {
    it.paused_at = {};
  }
  for (size_t it = 0; it < members_.size(); ++it) {
    SynchronizeLog(it);
  }
}

void GroupModel::Crash(size_t index, bool dark) {
  Member& member = members_[index];
  member.up = false;
  member.dark = dark;
  member.paused_at = {};
  ++member.lifetime;
  member.running = 0;
  std::vector<uint64_t> ended;
  for (const auto& [id, connection] : connections_) {
    if (connection.member == index) {
      ended.push_back(id);
    }
  }
  for (const uint64_t it : ended) {
    connections_.erase(it);
    if (!dark) {
      output_(it, "");
    }
  }
}

void GroupModel::Restart(size_t index) {
  Member& member = members_[index];
  member.up = true;
  member.dark = false;
  ++member.started_at;
  // One whose successor was promoted meanwhile comes back as a replica.
  member.leads = member.leads && member.term == newest_term_;
  member.applied = member.log.size();
  SynchronizeLog(index);
}

void GroupModel::SetReplicationCut(size_t index, bool cut) {
  members_[index].cut = cut;
  for (size_t it = 0; it < members_.size(); ++it) {
    SynchronizeLog(it);
  }
}

}  // namespace magnoliareel
