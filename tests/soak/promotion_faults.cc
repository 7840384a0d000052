#include "tests/soak/promotion_faults.h"

#include <optional>
#include <utility>

#include "tests/soak/action_output.h"

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

// Keeps the choices apart from those of other schedules with the same seed.
constexpr uint64_t kSeedOffset = 0x70726f6d;

}  // namespace

PromotionFaults::PromotionFaults(
    EventLoop& loop,
    SiteServer& site,
    DatabaseFaults& databases,
    std::span<const std::unique_ptr<LinkProxy>> proxies,
    MembershipFaults& membership,
    uint64_t seed,
    bool& is_database_down)
    : loop_(loop),
      site_(site),
      databases_(databases),
      proxies_(proxies),
      membership_(membership),
      random_(seed + kSeedOffset),
      is_database_down_(is_database_down) {}

Duration PromotionFaults::ChooseDuration(int64_t min_ms, int64_t max_ms) {
  const auto span = static_cast<size_t>(max_ms - min_ms + 1);
  return milliseconds(min_ms + static_cast<int64_t>(Choose(span)));
}

void PromotionFaults::Schedule(int64_t count, Duration period) {
  site_.SetPromotionObserver([this] { HandleOrder(); });
  const Duration share = period / count;
  const int64_t share_ms =
      std::chrono::duration_cast<milliseconds>(share).count();
  for (int64_t n = 0; n < count; ++n) {
    RunLater(loop_, share * n + ChooseDuration(0, share_ms),
             [this] { BeginSeries(); });
  }
}

// In half of the series a replica is replaced. In the others one restarts,
// which ends its pause: behind the next order, or at a time that may lie before
// it.
void PromotionFaults::BeginSeries() {
  const std::optional<size_t> primary = membership_.FindPrimary();
  if (has_ended_ || !primary) {
    return;
  }
  const size_t replica = (*primary + 1 + Choose(2)) % proxies_.size();
  if (Choose(2) == 0) {
    membership_.ReplaceMember(replica, ChooseDuration(2500, 5000),
                              [this] { StallCommits(); });
    return;
  }
  if (Choose(3) == 0) {
    RunLater(loop_, ChooseDuration(800, 4000),
             [this, replica] { RestartReplica(replica); });
  } else {
    restarts_behind_order_ = true;
  }
  StallCommits();
}

// The replicas receive nothing, and the primary is hidden shortly before or
// afterwards.
void PromotionFaults::StallCommits() {
  const Duration delay = ChooseDuration(300, 1500);
  const Duration duration = ChooseDuration(2000, 5000);
  RunLater(loop_, delay, [this, duration] {
    for (size_t it = 0; it < proxies_.size(); ++it) {
      if (!site_.GetGroup().HasPrimaryRole(it) &&
          !site_.GetGroup().HasLeft(it)) {
        membership_.StopReplication(it, duration);
      }
    }
  });
  RunLater(loop_, delay + ChooseDuration(-300, 300), [this, duration] {
    if (const std::optional<size_t> it = membership_.FindPrimary()) {
      HidePrimary(*it, duration);
    }
  });
}

void PromotionFaults::HidePrimary(size_t primary, Duration duration) {
  const size_t kind = Choose(4);
  if (kind != 0) {
    DelayAnswers(primary, duration);
  }
  if (kind < 2) {
    membership_.CutFromSomeNodes(primary, duration);
  }
}

void PromotionFaults::DelayAnswers(size_t member, Duration duration) {
  if (has_ended_) {
    return;
  }
  proxies_[member]->SetAnswerDelay(ChooseDuration(300, 1200));
  PrintAction("fault late", member);
  RunLater(loop_, duration, [this, member] {
    proxies_[member]->SetAnswerDelay({});
    PrintAction("fault prompt", member);
  });
}

void PromotionFaults::HandleOrder() {
  membership_.JoinBehindPromotion();
  const std::optional<size_t> primary = membership_.FindPrimary();
  if (has_ended_ || !primary || !std::exchange(restarts_behind_order_, false)) {
    return;
  }
  const size_t replica = (*primary + 1 + Choose(2)) % proxies_.size();
  RunLater(loop_, ChooseDuration(0, 200),
           [this, replica] { RestartReplica(replica); });
}

// A restart ends the replica's pause. It receives commits at once.
void PromotionFaults::RestartReplica(size_t member) {
  const GroupModel& group = site_.GetGroup();
  if (has_ended_ || is_database_down_ || group.HasPrimaryRole(member) ||
      group.HasLeft(member)) {
    return;
  }
  is_database_down_ = true;
  databases_.Inject("crash", member);
  databases_.Inject("hear", member);
  RunLater(loop_, ChooseDuration(10, 100), [this, member] {
    databases_.Inject("restart", member);
    is_database_down_ = false;
  });
}

void PromotionFaults::End() {
  has_ended_ = true;
  for (const auto& it : proxies_) {
    it->SetAnswerDelay({});
  }
}

}  // namespace magnoliareel
