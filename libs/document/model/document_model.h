#ifndef MAGNOLIAREEL_DOCUMENT_MODEL_DOCUMENT_MODEL_H_
#define MAGNOLIAREEL_DOCUMENT_MODEL_DOCUMENT_MODEL_H_

#include <span>
#include <string>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** One endpoint database of a group. */
struct EndpointConfig {
  /** Its name; its address comes from each process's settings. */
  EndpointId endpoint;
  /** The site it runs in. */
  SiteId site;
  /** Statements that it runs at a time. */
  int64_t slots = 1;
  /** Connections that it accepts. */
  int64_t connections = 1;

  auto operator<=>(const EndpointConfig&) const = default;
};

/** A group of endpoints that replicate one log. */
struct GroupConfig {
  /** Its name. */
  GroupId group;
  /** Its endpoints. */
  std::vector<EndpointConfig> endpoints;

  auto operator<=>(const GroupConfig&) const = default;
};

/** A service: records spread over groups by their key. */
struct ServiceConfig {
  /** Its name. */
  ServiceId service;
  /** Its groups; their order decides where a record key lives. */
  std::vector<GroupConfig> groups;
  /** Deadline of a request that names none. */
  Duration default_deadline{0};
  /** Longest deadline that a request may name. */
  Duration max_deadline{0};
  /** A transaction without a statement for so long is rolled back. */
  Duration transaction_idle_limit{0};

  auto operator<=>(const ServiceConfig&) const = default;
};

/** A caller and what it may use. */
struct CallerConfig {
  /** Its name. */
  CallerId caller;
  /** Hashes of its keys, in hex; several while keys are rotated. */
  std::vector<std::string> key_hashes;
  /** Services it may open sessions with. */
  std::vector<ServiceId> services;

  auto operator<=>(const CallerConfig&) const = default;
};

/** The configuration document of one environment. */
struct Document {
  /** All services. */
  std::vector<ServiceConfig> services;
  /** All callers. */
  std::vector<CallerConfig> callers;

  auto operator<=>(const Document&) const = default;

  /** @param service  a name  @returns the service, or nullptr */
  const ServiceConfig* FindService(const ServiceId& service) const;
  /** @param caller  a name  @returns the caller, or nullptr */
  const CallerConfig* FindCaller(const CallerId& caller) const;
  /** @param group  a name  @returns the group, or nullptr */
  const GroupConfig* FindGroup(const GroupId& group) const;
  /** @param group  a name  @returns the service that the group belongs to, or
      nullptr */
  const ServiceConfig* FindServiceOfGroup(const GroupId& group) const;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DOCUMENT_MODEL_DOCUMENT_MODEL_H_
