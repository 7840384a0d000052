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

/** Timeout of a status query to a suspected primary. It covers a new connection
    and one request between regions, with one lost packet. */
inline constexpr Duration kVerifyTimeout = std::chrono::milliseconds(350);
/** Interval between status queries to a primary that does not answer. */
inline constexpr Duration kVerifyInterval = std::chrono::milliseconds(250);
/** A report of stalled commits expires after this time. The traffic threads
    repeat the report at least this often while commits stall. */
inline constexpr Duration kStallReportRetention =
    std::chrono::milliseconds(1000);

/** Detects failures of primaries from the viewpoint of this VM.

    A traffic thread may report an endpoint because of a single lost answer or
    slow statement. An unreachable or silent primary is therefore suspected only
    after a status query on a new connection fails. The query is repeated until
    the endpoint answers, which ends the suspicion.

    @tparam C  @see EndpointCommandSender
    @tparam T  provides Now() and After()
*/
template <EndpointCommandSender C, class T>
class PrimaryFailureDetector {
 public:
  /** @param commands  must outlive the detector
      @param timing    must outlive the detector
      @param changed   called when List() has changed
  */
  PrimaryFailureDetector(C& commands, T& timing, std::function<void()> changed)
      : commands_(commands), timing_(timing), changed_(std::move(changed)) {}

  /** Handles a report from a traffic thread.

      @param endpoint   the reported primary
      @param condition  its observed condition
  */
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

  /** Queries the endpoint, unless a verification is in progress.

      @param endpoint   the primary to verify
      @param condition  condition to report if it does not answer
  */
  void Verify(const EndpointEntry& endpoint, EndpointCondition condition) {
    Entry& entry = entries_[endpoint.id];
    if (entry.verifying) {
      return;
    }
    entry.verifying = true;
    Query(endpoint, condition);
  }

  /** Drops the state of endpoints that are no longer primaries.

      @param is_primary  predicate that selects the endpoints to keep
  */
  void RetainIf(const std::function<bool(const EndpointId&)>& is_primary) {
    const bool removed = std::erase_if(entries_, [&](const auto& row) {
                           return !is_primary(row.first);
                         }) > 0;
    if (removed) {
      timing_.After(Duration(0), changed_);
    }
  }

  /** @returns the suspected primaries with their conditions */
  std::vector<ConditionReport> List() const {
    std::vector<ConditionReport> list;
    for (const auto& [id, entry] : entries_) {
      if (entry.suspected) {
        list.push_back({id, *entry.suspected});
      }
    }
    return list;
  }

  /** @param id  the endpoint to look up
      @returns    its condition, or none if it is not suspected */
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
          // A refusal for lack of a free slot is an answer, too.
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

  C& commands_;
  T& timing_;
  const std::function<void()> changed_;
  std::map<EndpointId, Entry> entries_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_FAILURE_DETECTOR_H_
