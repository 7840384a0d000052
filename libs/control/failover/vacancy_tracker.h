#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_VACANCY_TRACKER_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_VACANCY_TRACKER_H_

#include <map>
#include <set>
#include <span>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Tracks which groups lack a member that has left, so that another endpoint
    may join in its place.

    @see ReplacementPlan::may_gain_replica
*/
class VacancyTracker {
 public:
  /** A place that was not taken within this time is not taken any more. */
  static constexpr Duration kRetention = std::chrono::seconds(60);

  /** Applies a listing of the endpoints in use. One that is not listed any more
      has left its place; one that is new takes the oldest free one.

      @param endpoints  every endpoint in use
      @param now        the current time
  */
  void Apply(std::span<const EndpointEntry> endpoints, TimePoint now);

  /** @param service  the service to look up
      @param except   an endpoint whose place does not count
      @param now      the current time
      @returns        whether a place of the service is free */
  bool HasVacancy(const ServiceId& service,
                  const EndpointId& except,
                  TimePoint now) const;

 private:
  struct Vacancy {
    EndpointId former;
    TimePoint since;
  };

  /** Removes the places that listed endpoints have taken since the last
      listing. */
  static void TakePlaces(const std::set<EndpointId>& listed,
                         const std::set<EndpointId>& listed_before,
                         std::vector<Vacancy>& vacancies);

  std::map<ServiceId, std::set<EndpointId>> listed_;
  /** The free places of each service, the oldest first. */
  std::map<ServiceId, std::vector<Vacancy>> vacancies_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_VACANCY_TRACKER_H_
