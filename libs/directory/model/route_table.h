#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_ROUTE_TABLE_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** What reads on a route may miss. */
enum class Consistency {
  /** Nothing that was acknowledged before the read began. */
  kPrimary,
  /** What was acknowledged within the route's staleness limit. */
  kBounded,
  /** As kBounded, but never the session's own commits. */
  kReadYourWrites,
};

/** @param consistency  any
    @returns            its name in logs and metrics
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

/** How sessions of one database are served. */
struct DatabaseRoute {
  /** The name that callers give at their start. */
  std::string database;
  /** The service whose endpoints hold the data. */
  ServiceId service;
  Consistency consistency = Consistency::kPrimary;
  /** Longest time for one statement. */
  Duration statement_timeout{};
  /** Time within which a caller wants a whole operation to end. */
  Duration latency_objective{};
  /** Age of commits that a read may miss; unused on kPrimary. */
  Duration max_staleness{};
  /** 0 is served first. */
  int priority = 0;

  bool operator==(const DatabaseRoute&) const = default;
};

/** What holds for all endpoints of one service. */
struct ServiceRules {
  /** Most connections that one endpoint takes from all VMs together. */
  uint32_t max_connections = 0;
  /** Replicas that hold a commit before it is acknowledged. */
  uint32_t sync_replicas = 0;

  bool operator==(const ServiceRules&) const = default;
};

/** One version of the operators' configuration. */
struct RouteTable {
  /** Grows with every change; 0 before the first. */
  uint64_t version = 0;
  /** Routes by database name; shared with sessions that still use them. */
  std::map<std::string, std::shared_ptr<const DatabaseRoute>, std::less<>>
      routes;
  std::map<ServiceId, ServiceRules> services;
  /** A transaction that rests for longer may be rolled back; 0 is no limit. */
  Duration transaction_idle_limit{};

  /** @param database  a name given by a caller
      @returns         its route, or null
  */
  std::shared_ptr<const DatabaseRoute> Find(std::string_view database) const {
    const auto it = routes.find(database);
    return it == routes.end() ? nullptr : it->second;
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_MODEL_ROUTE_TABLE_H_
