#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "control/failover/endpoint_commands.h"
#include "control/failover/replacement_plan.h"
#include "core/core.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Longest wait for an endpoint's answer to an order: a new connection and a
    statement between regions, twice, with busy slots. */
inline constexpr Duration kOrderTimeout = std::chrono::milliseconds(600);
/** Pause before an order is repeated that found no free slot. */
inline constexpr Duration kBusyEndpointRetryInterval =
    std::chrono::milliseconds(25);
/** Most repeats of an order that found no free slot. */
inline constexpr int kMaxBusyEndpointRetries = 12;

/** Times that a promotion is ordered whose answer is lost. */
inline constexpr int kMaxPromotionAttempts = 4;

/** One attempt to replace a primary without losing a commit that it has
    acknowledged.

    A commit is acknowledged once the primary and one replica hold it. Every
    replica but the next primary is paused; from then on each acknowledgement
    passes through the next primary, and once it has received at least as much
    as each paused one, it holds every commit acknowledged before as well. The
    old primary serves until the promotion takes effect.

    @tparam O  @see EndpointCommandSender
    @tparam P  @see PromotionSender
    @tparam T  offers After(), @see FleetDelegate
*/
template <EndpointCommandSender O, PromotionSender P, class T>
class PrimaryReplacement
    : public std::enable_shared_from_this<PrimaryReplacement<O, P, T>> {
 public:
  /** Told of the end, once. */
  using Completion = std::function<void(const ReplacementResult&)>;

  /** @param orders      outlives the attempt
      @param promotions  outlives the attempt
      @param timing      outlives the attempt
      @param plan        what to do
      @param done        told of the end
  */
  PrimaryReplacement(O& orders,
                     P& promotions,
                     T& timing,
                     ReplacementPlan plan,
                     Completion done)
      : orders_(orders),
        promotions_(promotions),
        timing_(timing),
        plan_(std::move(plan)),
        done_(std::move(done)) {
    for (const EndpointEntry& it : plan_.replicas) {
      replicas_.push_back({it, std::nullopt});
    }
  }

  /** Begins; the object keeps itself alive until the end. */
  void Start() {
    std::vector<size_t> all(replicas_.size());
    for (size_t it = 0; it < all.size(); ++it) {
      all[it] = it;
    }
    pending_ = all.size() + 1;
    for (const size_t it : all) {
      Ask(it, {EndpointCommandKind::kReport, {}}, 0,
          &PrimaryReplacement::EndSurvey);
    }
    SurveyPrimary();
  }

 private:
  using Step = void (PrimaryReplacement::*)();

  void SurveyPrimary() {
    if (!plan_.primary || plan_.reason == ReplacementReason::kGone) {
      Arrive(&PrimaryReplacement::EndSurvey);
      return;
    }
    auto self = this->shared_from_this();
    orders_.Send(*plan_.primary, {EndpointCommandKind::kReport, {}},
                 kOrderTimeout / 2,
                 [self](std::error_code ec, const ReplicationStatus& standing) {
                   self->LogStep(self->plan_.primary_id,
                                 EndpointCommandKind::kReport, ec, standing);
                   self->primary_busy_ = ec == Error::kOverloaded;
                   if (!ec) {
                     self->primary_standing_ = standing;
                   }
                   self->Arrive(&PrimaryReplacement::EndSurvey);
                 });
  }

  void Ask(size_t index, EndpointCommand order, int repeats, Step next) {
    auto self = this->shared_from_this();
    orders_.Send(
        replicas_[index].entry, order, kOrderTimeout,
        [self, index, order, repeats, next](std::error_code ec,
                                            const ReplicationStatus& standing) {
          if (ec == Error::kOverloaded && repeats < kMaxBusyEndpointRetries) {
            self->timing_.After(kBusyEndpointRetryInterval,
                                [self, index, order, repeats, next] {
                                  self->Ask(index, order, repeats + 1, next);
                                });
            return;
          }
          self->LogStep(self->replicas_[index].entry.id, order.kind, ec,
                        standing);
          self->replicas_[index].standing.reset();
          if (!ec) {
            self->replicas_[index].standing = standing;
          }
          self->Arrive(next);
        });
  }

  void Arrive(Step next) {
    if (--pending_ == 0) {
      (this->*next)();
    }
  }

  void EndSurvey() {
    Term newest = primary_standing_ ? primary_standing_->term : Term{};
    for (const SurveyedEndpoint& it : replicas_) {
      if (it.standing) {
        newest = std::max({newest, it.standing->term, it.standing->paused_at});
      }
    }
    for (const SurveyedEndpoint& it : replicas_) {
      if (it.standing && it.standing->leads && it.standing->term >= newest) {
        pause_term_ = it.standing->term;
        Finish(ReplacementOutcome::kAlreadyReplaced, it.entry.id, "");
        return;
      }
    }
    if (IsPrimaryFine()) {
      Finish(ReplacementOutcome::kNotNeeded, plan_.primary_id, "");
      return;
    }
    const std::optional<size_t> next =
        ChoosePromotionCandidate(replicas_, plan_.preferred);
    if (!next) {
      Finish(ReplacementOutcome::kAbandoned, {}, "no replica can take over");
      return;
    }
    next_leader_ = *next;
    pause_term_ = newest.Next();
    PauseOthers();
  }

  bool IsPrimaryFine() const {
    if (plan_.reason != ReplacementReason::kCommitsStalled) {
      return false;
    }
    // Commits stall while its log runs ahead of what every replica receives.
    // One without a free slot is only busy: its commits wait for slots, too.
    return primary_busy_ ||
           (primary_standing_ &&
            std::any_of(replicas_.begin(), replicas_.end(),
                        [&](const SurveyedEndpoint& it) {
                          return it.standing && it.standing->received >=
                                                    primary_standing_->received;
                        }));
  }

  void PauseOthers() {
    std::vector<size_t> others;
    for (size_t it = 0; it < replicas_.size(); ++it) {
      if (it != next_leader_) {
        others.push_back(it);
      }
    }
    pending_ = others.size() + 1;
    for (const size_t it : others) {
      maybe_paused_.push_back(replicas_[it].entry);
      Ask(it, {EndpointCommandKind::kPause, pause_term_}, 0,
          &PrimaryReplacement::EndPause);
    }
    Arrive(&PrimaryReplacement::EndPause);
  }

  void EndPause() {
    for (size_t it = 0; it < replicas_.size(); ++it) {
      const bool counted = it == next_leader_ ||
                           (replicas_[it].standing &&
                            replicas_[it].standing->paused_at >= pause_term_);
      if (!counted) {
        // It may be the only one that holds an acknowledged commit.
        Finish(ReplacementOutcome::kAbandoned, {},
               "a replica is unaccounted for");
        return;
      }
    }
    pending_ = 1;
    Ask(next_leader_, {EndpointCommandKind::kReport, {}}, 0,
        &PrimaryReplacement::EndCompare);
  }

  void EndCompare() {
    if (!replicas_[next_leader_].standing) {
      Finish(ReplacementOutcome::kAbandoned, {},
             "the next primary fell silent");
      return;
    }
    if (HoldsMost(next_leader_)) {
      Promote();
      return;
    }
    if (++pauses_ > 1) {
      Finish(ReplacementOutcome::kAbandoned, {},
             "no replica holds every commit");
      return;
    }
    // Another one has received more. With this one paused too, nothing more is
    // acknowledged, and the one with most holds everything.
    maybe_paused_.push_back(replicas_[next_leader_].entry);
    pending_ = 1;
    Ask(next_leader_, {EndpointCommandKind::kPause, pause_term_}, 0,
        &PrimaryReplacement::EndLastPause);
  }

  void EndLastPause() {
    const auto& standing = replicas_[next_leader_].standing;
    if (!standing || standing->paused_at < pause_term_) {
      Finish(ReplacementOutcome::kAbandoned, {},
             "the next primary fell silent");
      return;
    }
    for (size_t it = 0; it < replicas_.size(); ++it) {
      if (HoldsMost(it) && !replicas_[it].entry.draining) {
        next_leader_ = it;
        Promote();
        return;
      }
    }
    // Only one that leaves holds everything; it leads until the next attempt.
    for (size_t it = 0; it < replicas_.size(); ++it) {
      if (HoldsMost(it)) {
        next_leader_ = it;
      }
    }
    Promote();
  }

  bool HoldsMost(size_t index) const {
    return std::all_of(
        replicas_.begin(), replicas_.end(), [&](const SurveyedEndpoint& it) {
          return it.standing->received <= replicas_[index].standing->received;
        });
  }

  void Promote() {
    auto self = this->shared_from_this();
    promotions_.Promote(plan_.service, replicas_[next_leader_].entry.id,
                        plan_.fencing_token,
                        [self](std::error_code ec) { self->EndPromote(ec); });
  }

  void EndPromote(std::error_code ec) {
    const EndpointId leader = replicas_[next_leader_].entry.id;
    if (!ec) {
      Finish(ReplacementOutcome::kPromoted, leader, "");
      return;
    }
    if (ec == Error::kSuperseded) {
      Finish(ReplacementOutcome::kSuperseded, {}, "superseded");
      return;
    }
    if (ec != Error::kAnswerLost) {
      Finish(ReplacementOutcome::kAbandoned, {}, "the platform took no order");
      return;
    }
    if (++promotions_lost_ < kMaxPromotionAttempts) {
      // The same order again: whichever of them is carried out, and whenever,
      // names the same endpoint.
      Promote();
      return;
    }
    Finish(ReplacementOutcome::kUncertain, leader,
           "the order's answer was lost");
  }

  void LogStep(const EndpointId& endpoint,
               EndpointCommandKind kind,
               std::error_code ec,
               const ReplicationStatus& standing) const {
    LogEvent(Event::kReplacementStep,
             {{"service", plan_.service.value},
              {"endpoint", endpoint.value},
              {"step", std::string(GetEndpointCommandName(kind))},
              {"role", standing.leads ? "primary" : "replica"},
              {"term", std::to_string(standing.term.value)},
              {"received", FormatLogPoint(standing.received)},
              {"error", ec ? ec.message() : "none"}});
  }

  void Finish(ReplacementOutcome end,
              EndpointId leader,
              std::string_view reason) {
    ReplacementResult result;
    result.end = end;
    result.leader = std::move(leader);
    result.term = pause_term_;
    result.fencing_token = plan_.fencing_token;
    result.orders_lost = promotions_lost_ > 0;
    result.reason = reason;
    result.maybe_paused = maybe_paused_;
    done_(result);
  }

  O& orders_;
  P& promotions_;
  T& timing_;
  const ReplacementPlan plan_;
  const Completion done_;
  std::vector<SurveyedEndpoint> replicas_;
  std::optional<ReplicationStatus> primary_standing_;
  bool primary_busy_ = false;
  std::vector<EndpointEntry> maybe_paused_;
  size_t pending_ = 0;
  size_t next_leader_ = 0;
  Term pause_term_;
  int pauses_ = 0;
  int promotions_lost_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REPLACEMENT_H_
