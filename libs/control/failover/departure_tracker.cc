#include "control/failover/departure_tracker.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {

void DepartureTracker::Apply(std::span<const EndpointEntry> endpoints,
                             TimePoint now) {
  std::map<EndpointId, Listed> listed;
  for (const EndpointEntry& it : endpoints) {
    listed.emplace(it.id, Listed{it.service, it.claims_primary});
    departures_.erase(it.id);
  }
  for (const auto& [id, entry] : listed_) {
    if (!listed.contains(id)) {
      departures_.try_emplace(id, Departure{entry.service, std::nullopt,
                                            entry.claims_primary, now});
    }
  }
  listed_ = std::move(listed);
  std::erase_if(departures_, [now](const auto& row) {
    return row.second.accounted_at &&
           now - *row.second.accounted_at >= kRetention;
  });
}

void DepartureTracker::RetainServices(std::span<const ServiceId> services) {
  const auto is_removed = [services](const ServiceId& service) {
    return std::find(services.begin(), services.end(), service) ==
           services.end();
  };
  std::erase_if(
      listed_, [&](const auto& row) { return is_removed(row.second.service); });
  std::erase_if(departures_, [&](const auto& row) {
    return is_removed(row.second.service);
  });
}

bool DepartureTracker::ApplyNotice(const DepartureNotice& notice,
                                   TimePoint now) {
  if (listed_.contains(notice.endpoint)) {
    return false;
  }
  const auto [it, added] = departures_.try_emplace(
      notice.endpoint, Departure{notice.service, std::nullopt, false, now});
  if (!notice.accounted || it->second.accounted_at) {
    return added;
  }
  it->second.accounted_at = now;
  return true;
}

void DepartureTracker::RecordAccounted(std::span<const EndpointId> endpoints,
                                       TimePoint now) {
  for (const EndpointId& id : endpoints) {
    if (const auto it = departures_.find(id);
        it != departures_.end() && !it->second.accounted_at) {
      it->second.accounted_at = now;
    }
  }
}

bool DepartureTracker::LedUntilDeparture(const EndpointId& endpoint) const {
  const auto it = departures_.find(endpoint);
  return it != departures_.end() && it->second.led_until_departure;
}

std::vector<EndpointId> DepartureTracker::ListUnaccounted(
    const ServiceId& service) const {
  std::vector<EndpointId> list;
  for (const auto& [id, departure] : departures_) {
    if (departure.service == service && !departure.accounted_at) {
      list.push_back(id);
    }
  }
  return list;
}

std::vector<EndpointId> DepartureTracker::ListUnaccountedSince(
    const ServiceId& service,
    TimePoint since) const {
  std::vector<EndpointId> list;
  for (const auto& [id, departure] : departures_) {
    if (departure.service == service &&
        (!departure.accounted_at || *departure.accounted_at >= since)) {
      list.push_back(id);
    }
  }
  return list;
}

std::optional<TimePoint> DepartureTracker::GetDepartureTime(
    const EndpointId& endpoint) const {
  const auto it = departures_.find(endpoint);
  return it == departures_.end() ? std::nullopt
                                 : std::optional(it->second.departed_at);
}

std::vector<EndpointId> DepartureTracker::ListMembers(
    const ServiceId& service,
    std::span<const EndpointId> recorded) const {
  std::set<EndpointId> members;
  for (const auto& [id, entry] : listed_) {
    if (entry.service == service) {
      members.insert(id);
    }
  }
  for (const EndpointId& it : recorded) {
    if (!departures_.contains(it)) {
      members.insert(it);
    }
  }
  for (EndpointId& it : ListUnaccounted(service)) {
    members.insert(std::move(it));
  }
  return {members.begin(), members.end()};
}

std::vector<DepartureNotice> DepartureTracker::ListNotices(
    TimePoint now) const {
  std::vector<DepartureNotice> list;
  for (const auto& [id, departure] : departures_) {
    const bool accounted = departure.accounted_at.has_value();
    if (!accounted || now - *departure.accounted_at < kNoticeRetention) {
      list.push_back({departure.service, id, accounted});
    }
  }
  return list;
}

}  // namespace magnoliareel
