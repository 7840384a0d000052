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

/** What an entry's traffic threads read: the deployment and the route hints.

    The control thread is the only writer of both; traffic threads hand it what
    they learn.

    @tparam E  the control thread
*/
template <Executor E>
class EntryState {
 public:
  /** Longest time until a hint learned is published. */
  static constexpr Duration kPublishDelay = std::chrono::milliseconds(2);

  /** @param executor  the control thread */
  explicit EntryState(E& executor)
      : executor_(executor),
        deployment_(std::make_shared<const Deployment>()),
        hints_({}) {}

  /** Publishes a deployment; on the control thread. */
  void Apply(std::shared_ptr<const Deployment> deployment) {
    deployment_.Publish(std::move(deployment));
  }

  /** @returns the deployment in force; from any thread */
  std::shared_ptr<const Deployment> GetDeployment() const {
    return *deployment_.Get();
  }
  /** @returns the hints published last; from any thread */
  std::shared_ptr<const RouteHints> GetHints() const { return hints_.Get(); }

  /** Learns of a primary; from any thread. */
  void ReportPrimary(const GroupId& group, const PrimaryHint& hint) {
    if (GetHints()->GetPrimary(group) == hint) {
      return;
    }
    executor_.TryPost([this, group, hint] {
      NoteChange(learned_.RecordPrimary(group, hint));
    });
  }

  /** Learns which endpoints hold a point; from any thread. */
  void ReportHolders(std::vector<EndpointId> endpoints, LogPoint point) {
    executor_.TryPost([this, endpoints = std::move(endpoints), point] {
      NoteChange(learned_.RecordHolders(endpoints, point));
    });
  }

 private:
  void NoteChange(bool is_changed) {
    if (!is_changed || std::exchange(is_publishing_, true)) {
      return;
    }
    executor_.After(kPublishDelay, [this] {
      is_publishing_ = false;
      hints_.Publish(learned_);
    });
  }

  E& executor_;
  Snapshot<std::shared_ptr<const Deployment>> deployment_;
  Snapshot<RouteHints> hints_;
  RouteHints learned_;
  bool is_publishing_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_STATE_ENTRY_STATE_H_
