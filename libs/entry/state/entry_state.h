#ifndef MAGNOLIAREEL_ENTRY_STATE_ENTRY_STATE_H_
#define MAGNOLIAREEL_ENTRY_STATE_ENTRY_STATE_H_

#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "core/core.h"
#include "membership/membership.h"
#include "routing/routing.h"

namespace magnoliareel {

/** The deployment and the route hints that an entry's traffic threads read.

    Only the control thread writes them. Traffic threads post what they learn
    from answers to the control thread, which publishes it.

    @tparam E  executor of the control thread
*/
template <Executor E>
class EntryState {
 public:
  /** Delay between a change of the hints and their publication, so that changes
      in quick succession are published together. */
  static constexpr Duration kPublishDelay = std::chrono::milliseconds(2);

  /** @param executor  executor of the control thread */
  explicit EntryState(E& executor)
      : executor_(executor),
        deployment_(std::make_shared<const Deployment>()),
        published_hints_({}) {}

  /** Publishes a deployment. Called on the control thread. */
  void Apply(std::shared_ptr<const Deployment> deployment) {
    deployment_.Publish(std::move(deployment));
  }

  /** May be called from any thread. @returns the current deployment */
  std::shared_ptr<const Deployment> GetDeployment() const {
    return *deployment_.Get();
  }
  /** May be called from any thread. @returns the hints published last */
  std::shared_ptr<const RouteHints> GetHints() const {
    return published_hints_.Get();
  }

  /** Reports a group's primary to the control thread. May be called from any
      thread. */
  void ReportPrimary(const GroupId& group, const PrimaryHint& hint) {
    if (GetHints()->GetPrimary(group) == hint) {
      return;
    }
    executor_.TryPost([this, group, hint] {
      SchedulePublicationIf(current_hints_.RecordPrimary(group, hint));
    });
  }

  /** Reports to the control thread which endpoints hold a point. May be called
      from any thread. */
  void ReportHolders(std::vector<EndpointId> endpoints, LogPoint point) {
    executor_.TryPost([this, endpoints = std::move(endpoints), point] {
      SchedulePublicationIf(current_hints_.RecordHolders(endpoints, point));
    });
  }

 private:
  void SchedulePublicationIf(bool is_changed) {
    if (!is_changed || std::exchange(is_publication_pending_, true)) {
      return;
    }
    executor_.After(kPublishDelay, [this] {
      is_publication_pending_ = false;
      published_hints_.Publish(current_hints_);
    });
  }

  E& executor_;
  Snapshot<std::shared_ptr<const Deployment>> deployment_;
  Snapshot<RouteHints> published_hints_;
  RouteHints current_hints_;
  bool is_publication_pending_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_STATE_ENTRY_STATE_H_
