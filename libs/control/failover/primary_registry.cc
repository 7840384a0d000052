#include "control/failover/primary_registry.h"

#include <algorithm>

namespace magnoliareel {

void PrimaryRegistry::Apply(std::span<const EndpointEntry> endpoints,
                            TimePoint now) {
  for (const EndpointEntry& it : endpoints) {
    if (!it.claims_primary) {
      continue;
    }
    const auto known = leaders_.find(it.service);
    if (known == leaders_.end()) {
      Known& fresh = leaders_[it.service];
      fresh.endpoint = it.id;
      fresh.confirmed = true;
    } else if (known->second.endpoint == it.id) {
      known->second.confirmed = true;
    } else if (known->second.missing_since) {
      // The leader is gone and another one says that it leads.
      known->second.endpoint = it.id;
      known->second.confirmed = true;
      known->second.ordered_at.reset();
      known->second.missing_since.reset();
    }
  }
  for (auto& [service, known] : leaders_) {
    const EndpointId& leader = known.endpoint;
    const bool listed = std::any_of(
        endpoints.begin(), endpoints.end(),
        [&leader](const EndpointEntry& it) { return it.id == leader; });
    if (listed) {
      known.missing_since.reset();
    } else if (!known.missing_since) {
      known.missing_since = now;
    }
  }
}

void PrimaryRegistry::NoteProven(const ServiceId& service,
                                 const EndpointId& endpoint,
                                 Term term) {
  Known& known = leaders_[service];
  if (term < known.term) {
    return;
  }
  if (known.endpoint != endpoint) {
    known.missing_since.reset();
  }
  known.endpoint = endpoint;
  known.term = term;
  known.confirmed = true;
  known.ordered_at.reset();
}

bool PrimaryRegistry::RecordPromotion(const ServiceId& service,
                                      const EndpointId& endpoint,
                                      uint64_t fencing_token,
                                      TimePoint now) {
  Known& known = leaders_[service];
  if (fencing_token < known.ordered_token ||
      (fencing_token == known.ordered_token &&
       endpoint == known.ordered_endpoint)) {
    return false;
  }
  known.ordered_token = fencing_token;
  known.ordered_endpoint = endpoint;
  if (known.endpoint == endpoint) {
    return false;
  }
  known.endpoint = endpoint;
  known.confirmed = false;
  known.ordered_at = now;
  known.missing_since.reset();
  return true;
}

bool PrimaryRegistry::IsLeader(const EndpointId& endpoint) const {
  return std::any_of(leaders_.begin(), leaders_.end(), [&](const auto& row) {
    return row.second.endpoint == endpoint;
  });
}

std::vector<std::pair<ServiceId, EndpointId>> PrimaryRegistry::List() const {
  std::vector<std::pair<ServiceId, EndpointId>> list;
  for (const auto& [service, known] : leaders_) {
    list.emplace_back(service, known.endpoint);
  }
  return list;
}

std::optional<PrimaryRegistry::Leader> PrimaryRegistry::Get(
    const ServiceId& service,
    TimePoint now) const {
  const auto it = leaders_.find(service);
  if (it == leaders_.end()) {
    return std::nullopt;
  }
  const Known& known = it->second;
  Leader leader;
  leader.endpoint = known.endpoint;
  leader.confirmed = known.confirmed;
  leader.gone =
      known.missing_since && now - *known.missing_since >= kDelistedGracePeriod;
  leader.failed_to_lead = !known.confirmed && known.ordered_at &&
                          now - *known.ordered_at >= kConfirmationTimeout;
  return leader;
}

}  // namespace magnoliareel
