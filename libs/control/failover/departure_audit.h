#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_DEPARTURE_AUDIT_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_DEPARTURE_AUDIT_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "control/failover/endpoint_commands.h"
#include "control/failover/primary_replacement.h"
#include "control/failover/replacement_plan.h"
#include "core/core.h"

namespace magnoliareel {

/** Result of a DepartureAudit. */
struct DepartureAuditResult {
  /** A replica holds every commit that a departed one can have acknowledged. */
  bool accounted = false;
  /** A replica holds the log with which the primary began to lead. */
  bool former_primaries_accounted = false;
  /** Why not; empty if it does. */
  std::string_view reason;
  /** The endpoint that answered as primary, and its term; none if no endpoint
      did. */
  std::optional<EndpointId> primary;
  Term term;
};

/** Checks once whether a replica of a service holds every commit that departed
    replicas can have acknowledged.

    First asks all endpoints for their status. The log of the primary then
    contains every commit acknowledged before the question. Afterwards asks the
    replicas whether one of them has received that much. A replica that has
    received a commit of the primary's term holds at least the log with which
    the primary began to lead.

    @tparam C  @see EndpointCommandSender
*/
template <EndpointCommandSender C>
class DepartureAudit : public std::enable_shared_from_this<DepartureAudit<C>> {
 public:
  /** Called once with the result. */
  using Completion = std::function<void(const DepartureAuditResult&)>;

  /** @param commands    must outlive the audit
      @param endpoints   the service's endpoints in use
      @param known_term  term in which the latest primary was confirmed; 0 if it
                         is not known
      @param done        called once with the result
  */
  DepartureAudit(C& commands,
                 std::span<const EndpointEntry> endpoints,
                 Term known_term,
                 Completion done)
      : commands_(commands), known_term_(known_term), done_(std::move(done)) {
    for (const EndpointEntry& it : endpoints) {
      endpoints_.push_back({it, std::nullopt});
    }
  }

  /** Starts the audit. The object keeps itself alive until it ends. */
  void Start() { QueryAll(&DepartureAudit::FinishPrimarySearch); }

 private:
  using Step = void (DepartureAudit::*)();

  void QueryAll(Step next) {
    pending_ = endpoints_.size() + 1;
    for (size_t it = 0; it < endpoints_.size(); ++it) {
      auto self = this->shared_from_this();
      commands_.Send(endpoints_[it].entry, {EndpointCommandKind::kReport, {}},
                     kEndpointCommandTimeout,
                     [self, it, next](std::error_code ec,
                                      const ReplicationStatus& status) {
                       self->endpoints_[it].status.reset();
                       if (!ec) {
                         self->endpoints_[it].status = status;
                       }
                       self->CompleteCall(next);
                     });
    }
    CompleteCall(next);
  }

  void CompleteCall(Step next) {
    if (--pending_ == 0) {
      (this->*next)();
    }
  }

  void FinishPrimarySearch() {
    Term newest_term = known_term_;
    for (const SurveyedEndpoint& it : endpoints_) {
      if (it.status) {
        newest_term = std::max(newest_term, it.status->term);
      }
    }
    for (const SurveyedEndpoint& it : endpoints_) {
      // In an older term, the log lacks what a later primary acknowledged.
      if (it.status && it.status->is_primary &&
          it.status->term == newest_term) {
        result_.primary = it.entry.id;
        result_.term = it.status->term;
        primary_end_ = it.status->received;
      }
    }
    if (!result_.primary) {
      result_.former_primaries_accounted =
          known_term_ > Term{} && HasReplicaReached(newest_term);
      result_.reason = "the primary does not answer";
      done_(result_);
      return;
    }
    QueryAll(&DepartureAudit::FinishComparison);
  }

  void FinishComparison() {
    for (const SurveyedEndpoint& it : endpoints_) {
      // A draining replica takes its log along when it leaves.
      if (it.status && it.entry.id != *result_.primary && !it.entry.draining &&
          it.status->received >= primary_end_) {
        result_.accounted = true;
      }
    }
    result_.former_primaries_accounted =
        result_.accounted || HasReplicaReached(result_.term);
    if (!result_.accounted) {
      result_.reason = "no replica holds the primary's log";
    }
    done_(result_);
  }

  /** @returns whether a replica that stays has received a commit of the term */
  bool HasReplicaReached(Term term) const {
    return std::any_of(
        endpoints_.begin(), endpoints_.end(), [&](const SurveyedEndpoint& it) {
          return it.status && !it.status->is_primary && !it.entry.draining &&
                 it.status->received.term >= term;
        });
  }

  C& commands_;
  const Term known_term_;
  const Completion done_;
  std::vector<SurveyedEndpoint> endpoints_;
  DepartureAuditResult result_;
  LogPoint primary_end_;
  size_t pending_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_DEPARTURE_AUDIT_H_
