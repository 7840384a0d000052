#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_ORDER_GUARD_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_ORDER_GUARD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control/failover/endpoint_commands.h"
#include "core/core.h"
#include "directory/directory.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Interval at which the endpoints of a service are asked while a promotion is
    awaited. A promotion takes several of them. */
inline constexpr Duration kOrderGuardInterval = std::chrono::milliseconds(100);
/** Interval at which a former primary that does not answer is sent another
    demotion. */
inline constexpr Duration kLateDemotionInterval =
    std::chrono::milliseconds(300);

/** A promotion that was ordered, and what it relies on. */
struct GuardedOrder {
  ServiceId service;
  /** The endpoint that becomes the primary. */
  EndpointId successor;
  /** The primary that is replaced; none if it was never listed. */
  std::optional<EndpointEntry> former_primary;
  /** The former primary has confirmed its demotion. */
  bool is_demoted = false;
  /** The replicas that were compared before the order. */
  std::vector<EndpointEntry> replicas;
  /** Lowest term that the successor can lead. Commands carry it: they have no
      effect on an endpoint that has received a commit of the new term. */
  Term next_term;
  /** Lists the service's endpoints in use at the time of the call. */
  std::function<std::vector<EndpointEntry>()> list_endpoints;
  /** Called when an endpoint reports that it leads the next term or a later
      one. The guard has ended if it is the successor; another one leads by an
      earlier order, and this one is still to take effect. */
  std::function<void(const EndpointId&, Term)> handle_proof;
  /** Called before a replica is paused. */
  std::function<void(const EndpointEntry&)> handle_pause;
};

/** Keeps what a promotion relies on as it was at the order, until an endpoint
    proves a newer term: a former primary that leads again is demoted again, and
    a replica that receives again, or has joined, is paused.

    An endpoint that has restarted knows nothing of the commands that it was
    sent. What was checked before the order need not hold when the promotion
    takes effect.

    @tparam C  sends commands to replicas, @see EndpointCommandSender
    @tparam F  sends commands to the former primary, through other VMs if this
               one does not reach it, @see EndpointCommandSender
    @tparam T  provides Now() and After()
*/
template <EndpointCommandSender C, EndpointCommandSender F, class T>
class OrderGuard {
 public:
  /** @param commands          must outlive the guard
      @param primary_commands  must outlive the guard
      @param timing            must outlive the guard
  */
  OrderGuard(C& commands, F& primary_commands, T& timing)
      : commands_(commands),
        primary_commands_(primary_commands),
        timing_(timing) {}

  /** Guards an order, in place of an earlier one for the same service.

      @param order  the order
  */
  void Begin(GuardedOrder order) {
    const ServiceId service = order.service;
    Watch& watch = watches_[service];
    watch = Watch{};
    watch.has_answered = order.is_demoted;
    watch.order = std::move(order);
    watch.generation = ++last_generation_;
    watch.began_at = timing_.Now();
    ScheduleQueries(service, watch.generation);
  }

  /** Sets when the guard ends without a proof. Until this is called, it does
      not.

      @param service  the order's service
      @param until    the time
  */
  void SetDeadline(const ServiceId& service, TimePoint until) {
    if (const auto it = watches_.find(service); it != watches_.end()) {
      it->second.until = until;
    }
  }

  /** Ends the guard of a service's order, if there is one. */
  void End(const ServiceId& service) { watches_.erase(service); }

 private:
  struct Watch {
    GuardedOrder order;
    uint64_t generation = 0;
    TimePoint began_at;
    std::optional<TimePoint> until;
    /** The former primary has answered the latest command. */
    bool has_answered = false;
    /** No demotion is sent before this time. */
    TimePoint next_demotion_at;
    /** Endpoints that were sent a command and have not answered. */
    std::set<EndpointId> asked;
  };

  /** @returns the guard; null if it has ended */
  Watch* Find(const ServiceId& service, uint64_t generation) {
    const auto it = watches_.find(service);
    return it != watches_.end() && it->second.generation == generation
               ? &it->second
               : nullptr;
  }

  void ScheduleQueries(const ServiceId& service, uint64_t generation) {
    timing_.After(kOrderGuardInterval, [this, service, generation] {
      SendQueries(service, generation);
    });
  }

  void SendQueries(const ServiceId& service, uint64_t generation) {
    const Watch* watch = Find(service, generation);
    if (watch == nullptr) {
      return;
    }
    if (watch->until && timing_.Now() >= *watch->until) {
      watches_.erase(service);
      return;
    }
    std::vector<EndpointEntry> entries = watch->order.list_endpoints();
    const std::optional<EndpointEntry>& former = watch->order.former_primary;
    if (former && std::none_of(entries.begin(), entries.end(),
                               [&former](const EndpointEntry& it) {
                                 return it.id == former->id;
                               })) {
      entries.push_back(*former);
    }
    ScheduleQueries(service, generation);
    for (const EndpointEntry& it : entries) {
      // An answer may have ended the guard.
      Watch* current = Find(service, generation);
      if (current != nullptr && !current->asked.contains(it.id)) {
        Query(*current, it);
      }
    }
  }

  /** @returns whether the endpoint is the former primary, and is not the one to
               lead again */
  static bool IsReplacedPrimary(const Watch& watch, const EndpointId& id) {
    const GuardedOrder& order = watch.order;
    return order.former_primary && order.former_primary->id == id &&
           order.successor != id;
  }

  void Query(Watch& watch, const EndpointEntry& entry) {
    if (!IsReplacedPrimary(watch, entry.id) || watch.has_answered) {
      Send(watch, entry, {EndpointCommandKind::kReport, {}});
      return;
    }
    // It may execute a demotion whose answer is lost.
    if (timing_.Now() >= watch.next_demotion_at) {
      Send(watch, entry, {EndpointCommandKind::kDemote, watch.order.next_term});
    }
  }

  void Send(Watch& watch,
            const EndpointEntry& entry,
            const EndpointCommand& command) {
    watch.asked.insert(entry.id);
    const auto done = [this, service = watch.order.service, entry, command,
                       generation = watch.generation](
                          std::error_code ec, const ReplicationStatus& status) {
      HandleAnswer(service, generation, entry, command, ec, status);
    };
    if (!IsReplacedPrimary(watch, entry.id)) {
      commands_.Send(entry, command, kEndpointCommandTimeout, done);
    } else {
      primary_commands_.Send(entry, command,
                             command.kind == EndpointCommandKind::kDemote
                                 ? kLateDemotionTimeout
                                 : kEndpointCommandTimeout,
                             done);
    }
  }

  void HandleAnswer(const ServiceId& service,
                    uint64_t generation,
                    const EndpointEntry& entry,
                    const EndpointCommand& command,
                    std::error_code ec,
                    const ReplicationStatus& status) {
    Watch* watch = Find(service, generation);
    if (watch == nullptr) {
      return;
    }
    watch->asked.erase(entry.id);
    const GuardedOrder& order = watch->order;
    if (IsReplacedPrimary(*watch, entry.id)) {
      watch->has_answered = !ec;
      if (ec && ec != Error::kOverloaded &&
          command.kind == EndpointCommandKind::kDemote) {
        watch->next_demotion_at = timing_.Now() + kLateDemotionInterval;
      }
    }
    if (ec) {
      return;
    }
    if (status.is_primary && status.term >= order.next_term) {
      const auto handle_proof = order.handle_proof;
      if (entry.id == order.successor) {
        watches_.erase(service);
      }
      handle_proof(entry.id, status.term);
      return;
    }
    if (entry.id == order.successor ||
        command.kind != EndpointCommandKind::kReport) {
      return;
    }
    if (status.is_primary) {
      LogPremiseLost(*watch, entry, "leads_again", status);
      Send(*watch, entry, {EndpointCommandKind::kDemote, order.next_term});
      return;
    }
    if (!IsReplacedPrimary(*watch, entry.id) && ReliesOnPauses(order) &&
        status.paused_at == Term{} && status.term < order.next_term) {
      PauseUnlessPromoted(*watch, entry, status);
    }
  }

  /** @returns false if the former primary is promoted again, which holds every
               acknowledged commit */
  static bool ReliesOnPauses(const GuardedOrder& order) {
    return !order.former_primary || order.former_primary->id != order.successor;
  }

  /** Pauses a replica unless the successor leads: the promotion has then ended
      the pause, and another one would outlast it. */
  void PauseUnlessPromoted(Watch& watch,
                           const EndpointEntry& replica,
                           const ReplicationStatus& status) {
    const auto pause = [this, service = watch.order.service, replica, status,
                        generation = watch.generation] {
      if (Watch* current = Find(service, generation)) {
        LogPremiseLost(*current, replica,
                       IsCompared(*current, replica) ? "not_paused" : "joined",
                       status);
        current->order.handle_pause(replica);
        Send(*current, replica,
             {EndpointCommandKind::kPause, current->order.next_term});
      }
    };
    const std::vector<EndpointEntry> entries = watch.order.list_endpoints();
    const auto successor = std::find_if(entries.begin(), entries.end(),
                                        [&watch](const EndpointEntry& it) {
                                          return it.id == watch.order.successor;
                                        });
    if (successor == entries.end()) {
      pause();
      return;
    }
    watch.asked.insert(replica.id);
    commands_.Send(
        *successor, {EndpointCommandKind::kReport, {}}, kOrderGuardInterval,
        [this, service = watch.order.service, generation = watch.generation,
         entry = *successor,
         pause](std::error_code ec, const ReplicationStatus& report) {
          HandleAnswer(service, generation, entry,
                       {EndpointCommandKind::kReport, {}}, ec, report);
          pause();
        });
  }

  static bool IsCompared(const Watch& watch, const EndpointEntry& replica) {
    return std::any_of(watch.order.replicas.begin(), watch.order.replicas.end(),
                       [&replica](const EndpointEntry& it) {
                         return it.id == replica.id &&
                                it.started_at_ms == replica.started_at_ms;
                       });
  }

  void LogPremiseLost(const Watch& watch,
                      const EndpointEntry& endpoint,
                      std::string_view what,
                      const ReplicationStatus& status) const {
    const Duration age = timing_.Now() - watch.began_at;
    LogEvent(Event::kOrderPremiseLost,
             {{"service", watch.order.service.value},
              {"endpoint", endpoint.id.value},
              {"what", std::string(what)},
              {"term", std::to_string(status.term.value)},
              {"received", FormatLogPoint(status.received)},
              {"after_ms", std::to_string(age.count() / 1000)}});
  }

  C& commands_;
  F& primary_commands_;
  T& timing_;
  std::map<ServiceId, Watch> watches_;
  uint64_t last_generation_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_ORDER_GUARD_H_
