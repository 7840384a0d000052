#include "allowance/book/team_permits.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "allowance/budget/team_budget.h"
#include "allowance/slots/slot_rank.h"

namespace magnoliareel {

void TeamPermits::SetBudget(const BucketRules& budget, TimePoint now) {
  if (budget_ == budget) {
    return;
  }
  budget_ = budget;
  limited_since_ = now;
  is_placed_ = false;
}

void TeamPermits::DropLost(const std::map<uint32_t, TimePoint>& owned_since) {
  std::erase_if(own_, [&owned_since](const auto& row) {
    return !owned_since.contains(row.first);
  });
}

void TeamPermits::Place(const PermitSources& sources,
                        const VmId& self,
                        TimePoint now) {
  if (std::exchange(is_placed_, true)) {
    return;
  }
  const SlotAssignment& assignment = sources.assignment;
  const auto slot_count = static_cast<uint32_t>(assignment.owners.size());
  const uint32_t parts = CountParts(budget_, slot_count);
  const BucketRules part{budget_.rate_per_s / parts, budget_.depth / parts};
  std::map<uint32_t, TokenBucket> own;
  std::vector<VmId> others;
  for (const uint32_t slot : RankSlots(team_, slot_count, parts)) {
    const auto owned = sources.owned_since.find(slot);
    if (owned == sources.owned_since.end()) {
      others.push_back(assignment.owners[slot].vm);
      continue;
    }
    if (const auto it = own_.find(slot); it != own_.end()) {
      it->second.SetRules(part, now);
      own.insert(*it);
    } else {
      // It starts empty when this VM gets the slot, or when a change of the
      // limit makes the slot one of the team's.
      own.emplace(slot,
                  TokenBucket(part, std::max(owned->second, limited_since_)));
    }
  }
  own_ = std::move(own);
  ListOwners(others, sources.lenders, self);
}

void TeamPermits::ListOwners(std::span<const VmId> owners,
                             std::span<const PermitLender> lenders,
                             const VmId& self) {
  struct Ranked {
    Distance distance;
    // VMs begin with different owners of the same distance.
    size_t rank;
    VmId vm;
  };
  std::vector<Ranked> ranked;
  for (const PermitLender& it : lenders) {
    if (std::find(owners.begin(), owners.end(), it.vm) != owners.end()) {
      const size_t rank =
          std::hash<std::string>{}(self.value + "/" + it.vm.value);
      ranked.push_back({it.distance, rank, it.vm});
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return std::pair(a.distance, a.rank) < std::pair(b.distance, b.rank);
  });
  owners_.clear();
  for (Ranked& it : ranked) {
    owners_.push_back(std::move(it.vm));
  }
}

uint32_t TeamPermits::TakeOwn(uint32_t n, TimePoint now) {
  uint32_t taken = 0;
  for (auto& [slot, bucket] : own_) {
    if (taken == n) {
      break;
    }
    taken += bucket.Take(n - taken, now);
  }
  return taken;
}

std::optional<TimePoint> TeamPermits::TakeBorrowed(TimePoint now) {
  while (!borrowed_.empty() && (borrowed_.front().count == 0 ||
                                now >= borrowed_.front().expires_at)) {
    borrowed_.pop_front();
  }
  if (borrowed_.empty()) {
    return std::nullopt;
  }
  --borrowed_.front().count;
  return borrowed_.front().expires_at;
}

void TeamPermits::RecordDemand(TimePoint now) {
  // A second without demand counts as much as one with it.
  const double seconds =
      std::chrono::duration<double>(now - demand_at_).count();
  demand_per_s_ = (demand_per_s_ + 1) / (1 + seconds);
  demand_at_ = now;
}

const VmId* TeamPermits::FindOwner(TimePoint now) const {
  const auto it =
      std::find_if(owners_.begin(), owners_.end(), [&](const VmId& vm) {
        const auto backoff = backoffs_.find(vm);
        return backoff == backoffs_.end() || now >= backoff->second.until;
      });
  return it == owners_.end() ? nullptr : &*it;
}

void TeamPermits::BackOffEmpty(const VmId& owner, TimePoint now) {
  Backoff& backoff = backoffs_[owner];
  backoff.length = backoff.length == Duration(0)
                       ? kEmptyOwnerBackoff
                       : std::min(2 * backoff.length, kMaxEmptyOwnerBackoff);
  backoff.until = now + backoff.length;
}

bool TeamPermits::HasFoundEmptyBucket() const {
  return !own_.empty() ||
         std::any_of(backoffs_.begin(), backoffs_.end(), [](const auto& row) {
           return row.second.length > Duration(0);
         });
}

}  // namespace magnoliareel
