#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_ROUTE_TABLE_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/core.h"
#include "directory/model/team_table.h"

namespace magnoliareel {

/** Which acknowledged commits a read on a route may miss. */
enum class Consistency {
  /** None that were acknowledged before the read began. */
  kPrimary,
  /** Those that were acknowledged within the route's staleness bound. */
  kBounded,
  /** Like kBounded, but never the session's own commits. */
  kReadYourWrites,
};

/** @param consistency  the consistency level
    @returns             its name in logs and metrics
*/
constexpr std::string_view GetConsistencyName(Consistency consistency) {
  switch (consistency) {
    case Consistency::kPrimary:
      return "primary";
    case Consistency::kBounded:
      return "bounded";
    case Consistency::kReadYourWrites:
      return "read_your_writes";
  }
  return "primary";
}

/** Settings for the sessions of one database. */
struct DatabaseRoute {
  /** Name that callers give when they open a session. */
  std::string database;
  /** The service whose endpoints hold the data. */
  ServiceId service;
  Consistency consistency = Consistency::kPrimary;
  /** Longest duration of one statement. */
  Duration statement_timeout{};
  /** Target latency of a caller's whole operation. */
  Duration latency_objective{};
  /** Staleness bound: a read may miss commits of at most this age. Not used
      with kPrimary. */
  Duration max_staleness{};
  /** Scheduling priority; 0 is the highest. */
  int priority = 0;
  /** Callers need no key. Has no effect while the configuration names no
      teams. */
  bool is_public = false;

  bool operator==(const DatabaseRoute&) const = default;
};

/** Settings for all endpoints of one service. */
struct ServiceRules {
  /** Maximum number of connections that one endpoint accepts from all VMs
      together. */
  uint32_t max_connections = 0;
  /** Number of replicas that must hold a commit before it is acknowledged. */
  uint32_t sync_replicas = 0;

  bool operator==(const ServiceRules&) const = default;
};

/** One version of the operators' configuration. */
struct RouteTable {
  /** Increases with every change; 0 before the first version. */
  uint64_t version = 0;
  /** Routes by database name, shared with the sessions that use them. */
  std::map<std::string, std::shared_ptr<const DatabaseRoute>, std::less<>>
      routes;
  std::map<ServiceId, ServiceRules> services;
  /** Teams and their keys; null if the configuration names none, and any caller
      may open any route. */
  std::shared_ptr<const TeamTable> teams;
  /** A transaction that is idle for longer may be rolled back; 0 means no
      limit. */
  Duration transaction_idle_limit{};
  /** Routes and services that are left out, because no message can hold their
      names. */
  Findings ignored;

  /** @param database  name given by a caller
      @returns          its route, or null if there is none
  */
  std::shared_ptr<const DatabaseRoute> Find(std::string_view database) const {
    const auto it = routes.find(database);
    return it == routes.end() ? nullptr : it->second;
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_MODEL_ROUTE_TABLE_H_
