#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_GROUPS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_GROUPS_H_

// Methods of FailoverControl that keep what it knows of a service's endpoints
// in the store, for the VMs that start after all others were lost. Included by
// failover_control.h.

#include <string>
#include <utility>
#include <vector>

#include "control/failover/failover_control.h"

namespace magnoliareel {

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
GroupRecord FailoverControl<S, R, C, P, T>::MakeGroupRecord(
    const ServiceId& service,
    const GroupRecord& previous) const {
  GroupRecord record;
  record.members = departures_.ListMembers(service, previous.members);
  const auto primary = primaries_.GetLatestConfirmed(service);
  if (primary && primary->term >= previous.term) {
    record.primary = primary->endpoint;
    record.term = primary->term;
  } else {
    record.primary = previous.primary;
    record.term = previous.term;
  }
  return record;
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::SaveGroup(const ServiceId& service,
                                               TimePoint now) {
  Progress& progress = progress_[service];
  if (progress.saving || progress.claiming || now < progress.next_save_at ||
      claims_.GetToken(service) == 0 || !IsCoordinator(service) ||
      !delegate_.IsStoreConnected()) {
    return;
  }
  GroupRecord record = MakeGroupRecord(service, {});
  if (claims_.IsSaved(service, record)) {
    return;
  }
  progress.saving = true;
  claims_.Save(service, std::move(record), [this, service](std::error_code ec) {
    Progress& saved = progress_[service];
    saved.saving = false;
    if (!ec) {
      return;
    }
    saved.next_save_at = delegate_.Now() + kGroupSaveRetryInterval;
    LogEvent(Event::kDutyRefused,
             {{"service", service.value},
              {"fencing_token", std::to_string(claims_.GetToken(service))},
              {"call", "save: " + ec.message()}});
  });
}

template <RowStore S,
          DutyRowCodec R,
          EndpointCommandSender C,
          PromotionSender P,
          class T>
void FailoverControl<S, R, C, P, T>::ApplyGroupRecord(
    const ServiceId& service,
    const GroupRecord& record) {
  const TimePoint now = delegate_.Now();
  std::vector<EndpointId> departed;
  for (const EndpointId& it : record.members) {
    if (departures_.ApplyNotice({service, it, false}, now)) {
      departed.push_back(it);
    }
  }
  const bool has_restored_primary =
      !record.primary.IsEmpty() &&
      primaries_.Restore(service, record.primary, record.term, now);
  if (has_restored_primary || !departed.empty()) {
    LogEvent(Event::kGroupRestored,
             {{"service", service.value},
              {"primary", has_restored_primary ? record.primary.value : ""},
              {"departed", JoinIds(departed)}});
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_FAILOVER_CONTROL_GROUPS_H_
