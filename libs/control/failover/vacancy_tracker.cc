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
  for (const auto& [service, ids] : listed) {
    std::vector<Vacancy>& vacancies = vacancies_[service];
    std::erase_if(vacancies, [now](const Vacancy& it) {
      return now - it.since >= kRetention;
    });
    for (const EndpointId& it : ids) {
      const auto own = std::find_if(
          vacancies.begin(), vacancies.end(),
          [&](const Vacancy& vacancy) { return vacancy.former == it; });
      if (own != vacancies.end()) {
        vacancies.erase(own);
      } else if (!listed_[service].contains(it) && !vacancies.empty()) {
        vacancies.erase(vacancies.begin());
      }
    }
  }
  listed_ = std::move(listed);
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
