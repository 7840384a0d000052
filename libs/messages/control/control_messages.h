#ifndef MAGNOLIAREEL_MESSAGES_CONTROL_CONTROL_MESSAGES_H_
#define MAGNOLIAREEL_MESSAGES_CONTROL_CONTROL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "messages/endpoint/endpoint_report.h"

namespace magnoliareel {

/** Asks a pooler whether it hears from an endpoint. */
struct ObserveRequest {
  /** Group of the endpoint. */
  GroupId group;
  /** The endpoint. */
  EndpointId endpoint;
};

/** The answer to an ObserveRequest. */
struct ObserveAnswer {
  /** Whether the pooler watches the group. */
  bool is_watched = false;
  /** Whether the endpoint answered its last call. */
  bool is_reachable = false;
};

/** A configuration document as one process passes it to another. */
struct DocumentOffer {
  /** Its version; 0 if the sender has none. */
  uint64_t version = 0;
  /** Its bytes. */
  std::string text;
};

/** Asks a pooler to change the primary of a group it drives. */
struct PromoteRequest {
  /** The group. */
  GroupId group;
};

/** What a pooler knows of one endpoint. */
struct EndpointStatus {
  /** The endpoint. */
  EndpointId endpoint;
  /** Whether it answered its last call. */
  bool is_reachable = false;
  /** Its last report, if any. */
  std::optional<EndpointReport> report;
};

/** What a pooler knows of one group. */
struct GroupStatus {
  /** The group. */
  GroupId group;
  /** Its primary; empty if none is known. */
  EndpointId primary;
  /** Term of the primary. */
  Term term;
  /** Its endpoints. */
  std::vector<EndpointStatus> endpoints;
};

/** What a pooler holds for one endpoint. */
struct RunnerStatus {
  /** The endpoint. */
  EndpointId endpoint;
  /** Statements that wait. */
  uint64_t waiting = 0;
  /** Connections open or being opened. */
  uint64_t connections = 0;
};

/** State of a pooler. */
struct PoolerStatus {
  /** Its VM. */
  VmId vm;
  /** Version of the document in force. */
  uint64_t version = 0;
  /** Hash of the document in force. */
  std::string hash;
  /** Requests not answered yet. */
  uint64_t in_progress = 0;
  /** Open transactions. */
  uint64_t transactions = 0;
  /** Groups it watches. */
  std::vector<GroupStatus> groups;
  /** Endpoints it runs statements on. */
  std::vector<RunnerStatus> runners;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_CONTROL_CONTROL_MESSAGES_H_
