#include "control/failover/vacancy_tracker.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {

void VacancyTracker::Apply(std::span<const EndpointEntry> endpoints,
                           TimePoint now) {
  std::map<ServiceId, std::set<EndpointId>> listed;
  for (const EndpointEntry& it : endpoints) {
    listed[it.service].insert(it.id);
  }
  for (const auto& [service, ids] : listed_) {
    for (const EndpointId& it : ids) {
      if (!listed[service].contains(it)) {
        vacancies_[service].push_back({it, now});
      }
    }
  }
  for (auto& [service, vacancies] : vacancies_) {
    TakePlaces(listed[service], listed_[service], vacancies);
    std::erase_if(vacancies, [now](const Vacancy& it) {
      return now - it.since >= kRetention;
    });
  }
  std::erase_if(vacancies_, [](const auto& row) { return row.second.empty(); });
  std::erase_if(listed, [](const auto& row) { return row.second.empty(); });
  listed_ = std::move(listed);
}

void VacancyTracker::TakePlaces(const std::set<EndpointId>& listed,
                                const std::set<EndpointId>& listed_before,
                                std::vector<Vacancy>& vacancies) {
  for (const EndpointId& id : listed) {
    const auto own = std::find_if(
        vacancies.begin(), vacancies.end(),
        [&](const Vacancy& vacancy) { return vacancy.former == id; });
    if (own != vacancies.end()) {
      vacancies.erase(own);
    } else if (!listed_before.contains(id) && !vacancies.empty()) {
      vacancies.erase(vacancies.begin());
    }
  }
}

bool VacancyTracker::HasVacancy(const ServiceId& service,
                                const EndpointId& except,
                                TimePoint now) const {
  const auto it = vacancies_.find(service);
  return it != vacancies_.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&](const Vacancy& vacancy) {
                       return vacancy.former != except &&
                              now - vacancy.since < kRetention;
                     });
}

}  // namespace magnoliareel
