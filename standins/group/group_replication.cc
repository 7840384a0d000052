// Replication of commits to replicas, promotions, crashes and restarts.

#include <algorithm>
#include <utility>

#include "standins/group/group_model.h"

namespace magnoliareel {

void GroupModel::Replicate(size_t commit) {
  for (size_t it = 0; it < members_.size(); ++it) {
    if (!members_[it].is_primary) {
      timer_(AddJitter(options_.mean_receive_delay),
             [this, it, commit, incarnation = members_[it].incarnation] {
               ReceiveCommit(it, commit, incarnation);
             });
    }
  }
}

void GroupModel::ReceiveCommit(size_t index,
                               size_t commit,
                               uint64_t incarnation) {
  Member& member = members_[index];
  if (!member.is_up || member.incarnation != incarnation || member.is_primary) {
    return;
  }
  SynchronizeLog(index);
  (void)commit;
}

// Copies the primary's whole log to a replica and schedules its application.
// Commits thus arrive in order, and a missed one arrives with the next. A
// suffix that the primary doesn't have is discarded.
void GroupModel::SynchronizeLog(size_t index) {
  Member& member = members_[index];
  const auto primary =
      std::find_if(members_.begin(), members_.end(), [&](const Member& it) {
        return it.is_primary && it.is_up && it.term >= member.term;
      });
  if (!member.is_up || member.is_primary || primary == members_.end() ||
      member.paused_at_term > Term{} || member.is_replication_cut ||
      primary->is_replication_cut ||
      (options_.ordered_receive_nothing && IsOrdered(index))) {
    return;
  }
  member.term = primary->term;
  const auto divergence =
      std::mismatch(member.log.begin(), member.log.end(), primary->log.begin(),
                    primary->log.end());
  const auto common_count =
      static_cast<size_t>(divergence.first - member.log.begin());
  member.log = primary->log;
  member.applied_count = std::min(member.applied_count, common_count);
  const auto delay = Duration(static_cast<int64_t>(
      static_cast<double>(AddJitter(options_.mean_apply_delay).count()) *
      apply_delay_factor_));
  timer_(delay, [this, index, n = member.log.size(),
                 incarnation = member.incarnation] {
    Member& it = members_[index];
    if (it.incarnation == incarnation) {
      it.applied_count = std::max(it.applied_count, std::min(n, it.log.size()));
    }
  });
}

int GroupModel::Promote(std::string_view id, uint64_t fencing_token) {
  const auto it =
      std::find_if(members_.begin(), members_.end(),
                   [&](const Member& member) { return member.id == id; });
  if (it == members_.end() || !it->is_up ||
      fencing_token < highest_fencing_token_) {
    return 409;
  }
  highest_fencing_token_ = fencing_token;
  const auto index = static_cast<size_t>(it - members_.begin());
  pending_promotions_.push_back({index, it->id, fencing_token, now_});
  timer_(options_.promotion_delay,
         [this, index, id = it->id] { ApplyPromotion(index, id); });
  return 200;
}

// A new member that has taken the place of the one to be promoted has another
// id.
void GroupModel::ApplyPromotion(size_t index, const std::string& id) {
  pending_promotions_.erase(
      std::find_if(pending_promotions_.begin(), pending_promotions_.end(),
                   [&](const PendingPromotion& it) { return it.id == id; }));
  if (members_[index].id != id || !members_[index].is_up ||
      members_[index].is_primary) {
    return;
  }
  newest_term_ = newest_term_.Next();
  for (Member& it : members_) {
    it.is_primary = it.is_demoted = false;
  }
  Member& primary = members_[index];
  primary.is_primary = true;
  primary.term = newest_term_;
  primary.applied_count = primary.log.size();
  promotions_.push_back({primary.id, now_, primary.log});
  for (Member& it : members_) {
    it.paused_at_term = {};
  }
  for (size_t it = 0; it < members_.size(); ++it) {
    SynchronizeLog(it);
  }
}

bool GroupModel::IsOrdered(size_t index) const {
  return std::any_of(
      pending_promotions_.begin(), pending_promotions_.end(),
      [&](const PendingPromotion& it) { return it.id == members_[index].id; });
}

void GroupModel::RecordEarlyAcknowledgement(size_t index, size_t commit) {
  for (const PendingPromotion& it : pending_promotions_) {
    const Member& member = members_[it.member];
    if (it.member != index && it.id == member.id &&
        std::find(member.log.begin(), member.log.end(), commit) ==
            member.log.end()) {
      early_acknowledgements_.push_back(
          {it.id, it.fencing_token, it.ordered_at, members_[index].id, commit});
    }
  }
}

// The replicas receive what the primary has sent before. Commits that wait for
// a replica are not acknowledged any more.
void GroupModel::Demote(size_t index) {
  for (size_t it = 0; it < members_.size(); ++it) {
    SynchronizeLog(it);
  }
  Member& member = members_[index];
  member.is_demoted = std::exchange(member.is_primary, false);
}

void GroupModel::Crash(size_t index, bool is_silent) {
  Member& member = members_[index];
  member.is_up = false;
  member.is_silent = is_silent;
  member.paused_at_term = {};
  ++member.incarnation;
  member.active_count = 0;
  std::vector<uint64_t> ended;
  for (const auto& [id, connection] : connections_) {
    if (connection.member == index) {
      ended.push_back(id);
    }
  }
  for (const uint64_t it : ended) {
    connections_.erase(it);
    if (!is_silent) {
      output_(it, "");
    }
  }
}

void GroupModel::Restart(size_t index) {
  Member& member = members_[index];
  member.is_up = true;
  member.is_silent = false;
  ++member.started_at;
  // A former primary comes back as a replica if another was promoted meanwhile.
  const bool was_demoted = std::exchange(member.is_demoted, false);
  member.is_primary =
      (member.is_primary || (was_demoted && options_.demoted_lead_again)) &&
      member.term == newest_term_;
  member.applied_count = member.log.size();
  SynchronizeLog(index);
}

void GroupModel::Leave(size_t index) {
  Crash(index, false);
  Member& member = members_[index];
  member.has_left = true;
  member.is_primary = member.is_demoted = false;
  member.is_replication_cut = false;
  member.log.clear();
  member.applied_count = 0;
}

void GroupModel::Join(size_t index) {
  Member& member = members_[index];
  member.has_left = false;
  member.id = options_.service + "-" + std::to_string(++id_count_);
  member.term = Term{1};
  Restart(index);
}

void GroupModel::SetReplicationCut(size_t index, bool is_cut) {
  members_[index].is_replication_cut = is_cut;
  for (size_t it = 0; it < members_.size(); ++it) {
    SynchronizeLog(it);
  }
}

}  // namespace magnoliareel
