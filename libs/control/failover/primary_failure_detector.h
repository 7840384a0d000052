#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_FAILURE_DETECTOR_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_FAILURE_DETECTOR_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "control/failover/endpoint_commands.h"
#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Longest wait for a suspected primary's answer: a new connection and a
    question between regions, with one packet lost. */
inline constexpr Duration kVerifyTimeout = std::chrono::milliseconds(350);
/** How often a suspected primary is asked again. */
inline constexpr Duration kVerifyInterval = std::chrono::milliseconds(250);
/** Traffic repeats a report of stalled commits at least this often while it
    lasts. */
inline constexpr Duration kStallReportRetention =
    std::chrono::milliseconds(1000);

/** Primaries that this VM finds in trouble.

    What traffic reports may have innocent causes: a lost answer, one slow
    statement. So the endpoint is asked on a new connection first, and again
    until it answers.

    @tparam O  @see EndpointCommandSender
    @tparam T  offers Now() and After()
*/
template <EndpointCommandSender O, class T>
class PrimaryFailureDetector {
 public:
  /** @param commands   outlives this
      @param timing   outlives this
      @param changed  called when List() changed
  */
  PrimaryFailureDetector(O& commands, T& timing, std::function<void()> changed)
      : commands_(commands), timing_(timing), changed_(std::move(changed)) {}

  /** Takes up what traffic notices. */
  void HandleReport(const EndpointEntry& endpoint,
                    EndpointCondition condition) {
    switch (condition) {
      case EndpointCondition::kUnreachable:
      case EndpointCondition::kSilent:
        Verify(endpoint, condition);
        return;
      case EndpointCondition::kCommitsStalled: {
        Entry& entry = entries_[endpoint.id];
        entry.stall_reported_at = timing_.Now();
        if (!entry.suspected) {
          entry.suspected = condition;
          changed_();
          ScheduleStallExpiry(endpoint);
        }
        return;
      }
      case EndpointCondition::kAnswering:
      case EndpointCondition::kRefusedAsReplica:
        return;
    }
  }

  /** Asks the endpoint, unless that is under way. */
  void Verify(const EndpointEntry& endpoint, EndpointCondition condition) {
    Entry& entry = entries_[endpoint.id];
    if (entry.verifying) {
      return;
    }
    entry.verifying = true;
    Query(endpoint, condition);
  }

  /** Forgets endpoints that do not lead any more.

      @param leads  tells whether an endpoint leads
  */
  void RetainIf(const std::function<bool(const EndpointId&)>& is_primary) {
    const bool removed = std::erase_if(entries_, [&](const auto& row) {
                           return !is_primary(row.first);
                         }) > 0;
    if (removed) {
      timing_.After(Duration(0), changed_);
    }
  }

  /** @returns primaries in trouble */
  std::vector<ConditionReport> List() const {
    std::vector<ConditionReport> list;
    for (const auto& [id, entry] : entries_) {
      if (entry.suspected) {
        list.push_back({id, *entry.suspected});
      }
    }
    return list;
  }

  /** @param id  an endpoint
      @returns    its trouble, if it has any */
  std::optional<EndpointCondition> Get(const EndpointId& id) const {
    const auto it = entries_.find(id);
    return it == entries_.end() ? std::nullopt : it->second.suspected;
  }

 private:
  struct Entry {
    bool verifying = false;
    bool expiry_scheduled = false;
    std::optional<EndpointCondition> suspected;
    TimePoint stall_reported_at;
  };

  void Query(const EndpointEntry& endpoint, EndpointCondition condition) {
    commands_.Send(
        endpoint, {EndpointCommandKind::kReport, {}}, kVerifyTimeout,
        [this, endpoint, condition](std::error_code ec,
                                    const ReplicationStatus&) {
          const auto it = entries_.find(endpoint.id);
          if (it == entries_.end()) {
            return;
          }
          Entry& entry = it->second;
          // An endpoint without a free slot answers, too.
          const bool answers = !ec || ec == Error::kOverloaded;
          if (answers) {
            entry.verifying = false;
            const bool was_unreachable =
                entry.suspected &&
                *entry.suspected != EndpointCondition::kCommitsStalled;
            if (was_unreachable) {
              entry.suspected.reset();
              changed_();
            }
            return;
          }
          if (!entry.suspected) {
            entry.suspected = condition;
            changed_();
          }
          timing_.After(kVerifyInterval, [this, endpoint, condition] {
            if (entries_.contains(endpoint.id)) {
              Query(endpoint, condition);
            }
          });
        });
  }

  void ScheduleStallExpiry(const EndpointEntry& endpoint) {
    if (std::exchange(entries_[endpoint.id].expiry_scheduled, true)) {
      return;
    }
    timing_.After(kStallReportRetention, [this, endpoint] {
      const auto it = entries_.find(endpoint.id);
      if (it == entries_.end()) {
        return;
      }
      Entry& entry = it->second;
      entry.expiry_scheduled = false;
      if (entry.suspected != EndpointCondition::kCommitsStalled) {
        return;
      }
      if (timing_.Now() - entry.stall_reported_at < kStallReportRetention) {
        ScheduleStallExpiry(endpoint);
        return;
      }
      entry.suspected.reset();
      changed_();
    });
  }

  O& commands_;
  T& timing_;
  const std::function<void()> changed_;
  std::map<EndpointId, Entry> entries_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_FAILURE_DETECTOR_H_
