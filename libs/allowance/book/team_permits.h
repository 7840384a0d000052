#ifndef MAGNOLIAREEL_ALLOWANCE_BOOK_TEAM_PERMITS_H_
#define MAGNOLIAREEL_ALLOWANCE_BOOK_TEAM_PERMITS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "allowance/budget/token_bucket.h"
#include "allowance/slots/slot_assignment.h"
#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Backoff of an owner that had no permits, and of one that did not answer. */
inline constexpr Duration kEmptyOwnerBackoff = std::chrono::milliseconds(200);
inline constexpr Duration kMaxEmptyOwnerBackoff =
    std::chrono::milliseconds(800);
inline constexpr Duration kSilentOwnerBackoff = std::chrono::seconds(1);

/** A VM that may lend permits. */
struct PermitLender {
  VmId vm;
  Distance distance = Distance::kRemote;

  bool operator==(const PermitLender&) const = default;
};

/** What decides which VMs issue a team's permits. */
struct PermitSources {
  SlotAssignment assignment;
  /** This VM's slots, and the time at which it got each. */
  std::map<uint32_t, TimePoint> owned_since;
  /** The other live VMs. */
  std::vector<PermitLender> lenders;
};

/** Permits of one team at this VM: the buckets of its own slots, what it has
    borrowed, and the VMs that it can ask.

    @see AllowanceBook
*/
class TeamPermits {
 public:
  /** @param team    the team
      @param budget  its budget, across all VMs
      @param now     time from which it is in force */
  TeamPermits(TeamId team, const BucketRules& budget, TimePoint now)
      : team_(std::move(team)), budget_(budget), limited_since_(now) {}

  /** Changes the budget; has no effect if it is the same. */
  void SetBudget(const BucketRules& budget, TimePoint now);
  /** Lets the next call of Place() find buckets and owners again. */
  void Invalidate() { is_placed_ = false; }
  /** Drops the buckets of slots that this VM has lost: another VM may issue
      permits from them.

      @param owned_since  this VM's slots */
  void DropLost(const std::map<uint32_t, TimePoint>& owned_since);
  /** Finds the buckets of this VM and the owners of the team's other slots.
      Done at the next use after a change, because a change concerns all teams.

      @param sources  slots and VMs
      @param self     this VM
      @param now      the current time */
  void Place(const PermitSources& sources, const VmId& self, TimePoint now);

  /** Takes permits from the buckets of this VM's slots.

      @returns the number that was taken, at most `n` */
  uint32_t TakeOwn(uint32_t n, TimePoint now);
  /** Takes a borrowed permit.

      @returns the end of its lifetime, or none if there is no permit */
  std::optional<TimePoint> TakeBorrowed(TimePoint now);
  /** Adds permits that another VM has lent. */
  void AddBorrowed(uint32_t count, TimePoint expires_at) {
    borrowed_.push_back({count, expires_at});
  }

  /** Records an operation for which this VM has no permit of its own. */
  void RecordDemand(TimePoint now);
  /** @returns the mean number of such operations in a second */
  double GetDemandPerSecond() const { return demand_per_s_; }

  /** @returns the nearest owner that is not backed off, or null */
  const VmId* FindOwner(TimePoint now) const;
  /** Records that an owner had no permits. */
  void BackOffEmpty(const VmId& owner, TimePoint now);
  /** Records that an owner did not answer. */
  void BackOffSilent(const VmId& owner, TimePoint now) {
    backoffs_[owner].until = now + kSilentOwnerBackoff;
  }
  /** Records that an owner has lent permits. */
  void EndBackoff(const VmId& owner) { backoffs_.erase(owner); }
  /** @returns whether a bucket was found empty, here or at another VM */
  bool HasFoundEmptyBucket() const;

  size_t CountOwnSlots() const { return own_.size(); }
  size_t CountOwners() const { return owners_.size(); }

 private:
  struct Borrowed {
    uint32_t count = 0;
    TimePoint expires_at;
  };
  struct Backoff {
    TimePoint until;
    /** Of an owner that had no permits; 0 if it did not answer. */
    Duration length{};
  };

  void ListOwners(std::span<const VmId> owners,
                  std::span<const PermitLender> lenders,
                  const VmId& self);

  TeamId team_;
  BucketRules budget_;
  TimePoint limited_since_;
  bool is_placed_ = false;
  /** By slot. */
  std::map<uint32_t, TokenBucket> own_;
  /** Nearest first. */
  std::vector<VmId> owners_;
  std::deque<Borrowed> borrowed_;
  std::map<VmId, Backoff> backoffs_;
  double demand_per_s_ = 0;
  TimePoint demand_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ALLOWANCE_BOOK_TEAM_PERMITS_H_
