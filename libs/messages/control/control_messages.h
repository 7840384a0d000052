#ifndef MAGNOLIAREEL_MESSAGES_CONTROL_CONTROL_MESSAGES_H_
#define MAGNOLIAREEL_MESSAGES_CONTROL_CONTROL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "messages/endpoint/endpoint_report.h"

namespace magnoliareel {

/** Asks a pooler whether it can reach an endpoint. */
struct ObserveRequest {
  /** Group of the endpoint. */
  GroupId group;
  /** Endpoint in question. */
  EndpointId endpoint;
};

/** The answer to an ObserveRequest. */
struct ObserveAnswer {
  /** True if the pooler monitors the group. */
  bool is_watched = false;
  /** True if the endpoint answered its last call. */
  bool is_reachable = false;
};

/** Configuration document that one process sends to another. */
struct DocumentOffer {
  /** Version of the document; 0 if the sender has none. */
  uint64_t version = 0;
  /** Document as JSON. */
  std::string text;
};

/** Asks a pooler to replace the primary of a group that it coordinates. */
struct PromoteRequest {
  /** Group whose primary is replaced. */
  GroupId group;
};

/** State of one endpoint as known to a pooler. */
struct EndpointStatus {
  /** The endpoint. */
  EndpointId endpoint;
  /** True if the endpoint answered its last call. */
  bool is_reachable = false;
  /** Last report of the endpoint, if any. */
  std::optional<EndpointReport> report;
};

/** State of one group as known to a pooler. */
struct GroupStatus {
  /** The group. */
  GroupId group;
  /** Primary of the group; empty if none is known. */
  EndpointId primary;
  /** Term of the primary. */
  Term term;
  /** Endpoints of the group. */
  std::vector<EndpointStatus> endpoints;
};

/** Queue and connections that a pooler has for one endpoint. */
struct RunnerStatus {
  /** The endpoint. */
  EndpointId endpoint;
  /** Number of queued statements. */
  uint64_t waiting = 0;
  /** Number of connections that are open or being opened. */
  uint64_t connections = 0;
};

/** State of a pooler process. */
struct PoolerStatus {
  /** VM on which the pooler runs. */
  VmId vm;
  /** Version of the configuration document in force. */
  uint64_t version = 0;
  /** SHA-256 of the configuration document in force, in hex. */
  std::string hash;
  /** Number of requests that are not answered yet. */
  uint64_t in_progress = 0;
  /** Number of open transactions. */
  uint64_t transactions = 0;
  /** Groups that the pooler monitors. */
  std::vector<GroupStatus> groups;
  /** Endpoints on which the pooler runs statements. */
  std::vector<RunnerStatus> runners;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_CONTROL_CONTROL_MESSAGES_H_
