#include "control/failover/primary_registry.h"

#include <algorithm>

namespace magnoliareel {

void PrimaryRegistry::Apply(std::span<const EndpointEntry> endpoints,
                            TimePoint now) {
  for (const EndpointEntry& it : endpoints) {
    const auto record = primaries_.find(it.service);
    if (record == primaries_.end()) {
      leaderless_since_.try_emplace(it.service, now);
    }
    if (!it.claims_primary) {
      continue;
    }
    if (record == primaries_.end()) {
      Record& fresh = primaries_[it.service];
      fresh.endpoint = it.id;
      RecordReportedRole(fresh);
    } else if (record->second.endpoint == it.id) {
      RecordReportedRole(record->second);
    } else if (record->second.missing_since &&
               !IsOutdatedClaim(record->second, it)) {
      // The recorded primary left the directory, and another endpoint reports
      // the role.
      record->second.endpoint = it.id;
      RecordReportedRole(record->second);
      record->second.promotion_ordered_at.reset();
      record->second.missing_since.reset();
    }
  }
  for (auto& [service, record] : primaries_) {
    const auto reported =
        std::find_if(endpoints.begin(), endpoints.end(),
                     [&service = service](const EndpointEntry& it) {
                       return it.service == service && it.claims_primary;
                     });
    if (reported != endpoints.end()) {
      record.latest_reported = reported->id;
      record.unreported_since.reset();
    } else if (!record.unreported_since) {
      record.unreported_since = now;
    }
    const EndpointId& primary = record.endpoint;
    const bool listed = std::any_of(
        endpoints.begin(), endpoints.end(),
        [&primary](const EndpointEntry& it) { return it.id == primary; });
    if (listed) {
      record.missing_since.reset();
      record.delisted_grace_period = kDelistedGracePeriod;
    } else if (!record.missing_since) {
      record.missing_since = now;
      record.led_until_missing = record.claims.contains(primary);
    }
    record.claims.clear();
    for (const EndpointEntry& it : endpoints) {
      if (it.service == service && it.claims_primary) {
        record.claims.emplace(it.id, GetReport(it));
      }
    }
  }
}

bool PrimaryRegistry::IsOutdatedClaim(const Record& record,
                                      const EndpointEntry& entry) {
  const auto it = record.outdated_claims.find(entry.id);
  return record.led_until_missing && it != record.outdated_claims.end() &&
         it->second.number && it->second == GetReport(entry);
}

void PrimaryRegistry::RecordReportedRole(Record& record) {
  record.confirmed = true;
  if (record.latest_confirmed.endpoint != record.endpoint) {
    record.latest_confirmed = {record.endpoint, Term{}};
  }
}

void PrimaryRegistry::RecordConfirmed(const ServiceId& service,
                                      const EndpointId& endpoint,
                                      Term term) {
  Record& record = primaries_[service];
  if (term < record.term) {
    return;
  }
  if (record.endpoint != endpoint) {
    record.missing_since.reset();
  }
  if (term > record.term) {
    record.outdated_claims = record.claims;
    record.outdated_claims.erase(endpoint);
  }
  record.endpoint = endpoint;
  record.term = term;
  record.confirmed = true;
  record.latest_confirmed = {endpoint, term};
  record.promotion_ordered_at.reset();
}

void PrimaryRegistry::RecordDemoted(const ServiceId& service,
                                    const EndpointId& endpoint) {
  if (Record& record = primaries_[service]; record.endpoint == endpoint) {
    record.confirmed = false;
  }
}

bool PrimaryRegistry::RecordPromotion(const ServiceId& service,
                                      const EndpointId& endpoint,
                                      uint64_t fencing_token,
                                      TimePoint now) {
  Record& record = primaries_[service];
  if (fencing_token < record.promotion_token ||
      (fencing_token == record.promotion_token &&
       endpoint == record.promotion_endpoint)) {
    return false;
  }
  record.promotion_token = fencing_token;
  record.promotion_endpoint = endpoint;
  record.latest_order_at = now;
  const bool is_awaited = record.promotion_ordered_at.has_value();
  if (record.endpoint == endpoint && (record.confirmed || is_awaited)) {
    return false;
  }
  record.endpoint = endpoint;
  record.confirmed = false;
  record.promotion_ordered_at = now;
  record.missing_since.reset();
  return true;
}

bool PrimaryRegistry::Restore(const ServiceId& service,
                              const EndpointId& endpoint,
                              Term term,
                              TimePoint now) {
  if (primaries_.contains(service)) {
    return false;
  }
  const auto listed_since = leaderless_since_.try_emplace(service, now).first;
  Record& record = primaries_[service];
  record.endpoint = endpoint;
  record.term = term;
  record.latest_confirmed = {endpoint, term};
  record.latest_reported = endpoint;
  record.unreported_since = listed_since->second;
  // Apply() withdraws this if the directory lists the endpoint.
  record.missing_since = listed_since->second;
  record.delisted_grace_period = kUnseenGracePeriod;
  return true;
}

bool PrimaryRegistry::IsPrimary(const EndpointId& endpoint) const {
  return std::any_of(
      primaries_.begin(), primaries_.end(),
      [&](const auto& row) { return row.second.endpoint == endpoint; });
}

bool PrimaryRegistry::IsLatestConfirmed(const EndpointId& endpoint) const {
  return std::any_of(primaries_.begin(), primaries_.end(),
                     [&](const auto& row) {
                       return row.second.latest_confirmed.endpoint == endpoint;
                     });
}

std::optional<PrimaryRegistry::ConfirmedPrimary>
PrimaryRegistry::GetLatestConfirmed(const ServiceId& service) const {
  const auto it = primaries_.find(service);
  return it == primaries_.end() ||
                 it->second.latest_confirmed.endpoint.IsEmpty()
             ? std::nullopt
             : std::optional(it->second.latest_confirmed);
}

std::vector<std::pair<ServiceId, EndpointId>> PrimaryRegistry::List() const {
  std::vector<std::pair<ServiceId, EndpointId>> list;
  for (const auto& [service, record] : primaries_) {
    list.emplace_back(service, record.endpoint);
  }
  return list;
}

std::optional<PrimaryRegistry::PrimaryState> PrimaryRegistry::Get(
    const ServiceId& service,
    TimePoint now) const {
  const auto it = primaries_.find(service);
  if (it == primaries_.end()) {
    return std::nullopt;
  }
  const Record& record = it->second;
  PrimaryState primary;
  primary.endpoint = record.endpoint;
  primary.confirmed = record.confirmed;
  primary.gone = record.missing_since &&
                 now - *record.missing_since >= record.delisted_grace_period;
  primary.demoted = record.latest_reported == record.endpoint &&
                    !record.missing_since && record.unreported_since &&
                    now - *record.unreported_since >= kConfirmationTimeout &&
                    (!record.latest_order_at ||
                     now - *record.latest_order_at >= kConfirmationTimeout);
  primary.promotion_failed =
      !record.confirmed && record.promotion_ordered_at &&
      now - *record.promotion_ordered_at >= kConfirmationTimeout;
  return primary;
}

}  // namespace magnoliareel
