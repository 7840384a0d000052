#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_PROGRESS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "control/failover/replacement_plan.h"
#include "control/failover/replica_resumer.h"
#include "control/peers/heartbeat.h"
#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** A promotion that this VM has ordered. */
struct PromotionOrder {
  EndpointId endpoint;
  TimePoint sent_at;
  /** Term of the latest confirmed primary at that time. */
  Term former_term;
  /** Time after which it does not take effect any more; none while the
      attempt that has ordered it runs. */
  std::optional<TimePoint> open_until;
  /** Time until which an order without an answer may be carried out. */
  TimePoint lost_until;
};

/** A replica that this VM has paused, or may have. */
struct PausedReplica {
  EndpointEntry entry;
  /** Newest term of the pauses; none if another VM has set them. */
  std::optional<Term> pause_term;
  /** It may execute the pause after it was resumed. */
  bool may_pause_late = false;
};

/** The order of another VM that this one has heard of. */
struct PeerOrder {
  EndpointId endpoint;
  uint64_t fencing_token = 0;
  TimePoint heard_at;
  /** Term of the latest confirmed primary at that time. */
  Term former_term;
};

/** A duty that this VM has taken over, whose former holder may have left
    replicas paused for an order that is still to take effect. */
struct InheritedDuty {
  TimePoint claimed_at;
  /** Term of the latest confirmed primary at that time. */
  Term former_term;
  /** Time until which an order may take effect that the former holder has sent
      without this VM's knowledge. */
  TimePoint orders_until;
};

/** An order for the present primary, which fences older ones. It changes
    nothing unless one of these takes effect first: the primary then leads
    again. */
struct FencingOrder {
  EndpointId endpoint;
  /** Term that the endpoint led at the order. */
  Term term;
  /** Time after which it does not take effect any more. */
  TimePoint until;
  /** The same of an earlier one whose answer was lost. */
  TimePoint lost_until;
};

/** A hold that another VM has announced: the holder of the duty, or a VM that
    relays the holder's notice. */
struct PeerHold {
  /** The holder if it has announced the hold to this VM, else the VM that
      relayed it last. */
  VmId vm;
  ReplacementNotice notice;
  /** The holder has announced it to this VM, which relays it to the others. */
  bool is_direct = false;
  /** The holder has ended it. */
  bool has_ended = false;
  /** Time of that VM's latest announcement. */
  TimePoint heard_at;
  /** Time after which the order does not take effect any more. */
  TimePoint open_until;
  /** Configuration of the VM when it announced or relayed the hold. */
  uint64_t config_version = 0;
};

/** What a FailoverControl is doing about one service.

    An order is open until its endpoint proves a newer term, or it cannot take
    effect any more. Its answer may be lost: the platform then carries it out
    late, or not at all. It is fenced once the platform has accepted a call
   under a newer token, and refuses it from then on.
*/
struct FailoverProgress {
  bool running = false;
  bool claiming = false;
  bool confirming = false;
  bool auditing = false;
  bool saving = false;
  /** A promotion of this VM or of the previous holder may still be executed,
      because its answer was lost. */
  bool unsettled = false;
  /** The latest confirmation of the primary. */
  std::optional<FencingOrder> fencing_order;
  /** Commits are held until then for a confirmation of the primary. */
  TimePoint fencing_hold_until;
  /** Time of the answer to the latest confirmation of the primary. */
  std::optional<TimePoint> confirmed_at;
  /** Endpoint of this VM's promotion whose answer was lost; empty if none. */
  EndpointId pending_promotion;
  /** Time after which it is not executed any more. */
  TimePoint pending_until;
  /** Replicas to resume once the promoted endpoint is confirmed. */
  std::vector<PausedReplica> paused_replicas;
  /** Replicas that were paused while an order was awaited. */
  std::vector<PausedReplica> guarded_replicas;
  /** Replicas that earlier attempts may have left paused when the running
      attempt began. */
  std::vector<PendingResume> pending_resumes;
  /** Primary that the latest attempt with a demotion has demoted, or may
      have. */
  DemotedPrimary demoted_primary;
  /** No promotion was ordered since that demotion. */
  bool awaits_promotion = false;
  /** This VM's latest order until the primary proves a newer term. */
  std::optional<PromotionOrder> unconfirmed_order;
  /** The latest order of another VM until its endpoint proves a newer term.
   */
  std::optional<PeerOrder> peer_order;
  /** Set from the claim until the replicas are resumed. */
  std::optional<InheritedDuty> inherited;
  /** PromotionOrder::former_term of this VM's latest order. */
  Term replaced_term;
  /** Time at which that order was sent. */
  TimePoint ordered_at;
  /** What this VM tells the others while it replaces the primary. */
  std::optional<ReplacementNotice> hold;
  /** Token of this VM's latest hold, which other VMs may still relay. */
  uint64_t latest_hold_token = 0;
  TimePoint not_before;
  TimePoint claimed_at;
  TimePoint next_audit_at;
  /** No GroupRecord is written before this time. */
  TimePoint next_save_at;
  /** The missing commit that was logged last. */
  std::optional<LogPoint> missing_commit;
  /** Why the latest audit failed; empty if it did not. */
  std::string_view audit_failure;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_PROGRESS_H_
