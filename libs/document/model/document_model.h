#ifndef MAGNOLIAREEL_DOCUMENT_MODEL_DOCUMENT_MODEL_H_
#define MAGNOLIAREEL_DOCUMENT_MODEL_DOCUMENT_MODEL_H_

#include <span>
#include <string>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** Configuration of one endpoint database of a group. */
struct EndpointConfig {
  /** Name of the endpoint. The address comes from the settings of each process.
   */
  EndpointId endpoint;
  /** Site in which the endpoint runs. */
  SiteId site;
  /** Number of statements that the endpoint runs concurrently. */
  int64_t slots = 1;
  /** Maximum number of connections that the endpoint accepts. */
  int64_t connections = 1;

  auto operator<=>(const EndpointConfig&) const = default;
};

/** Configuration of a group of endpoints that replicate one log. */
struct GroupConfig {
  /** Name of the group. */
  GroupId group;
  /** Endpoints of the group. */
  std::vector<EndpointConfig> endpoints;

  auto operator<=>(const GroupConfig&) const = default;
};

/** Configuration of a service, whose records are partitioned over groups by
    key. */
struct ServiceConfig {
  /** Name of the service. */
  ServiceId service;
  /** Groups of the service. Their order determines which group holds a record
      key. */
  std::vector<GroupConfig> groups;
  /** Deadline of a request that specifies none. */
  Duration default_deadline{0};
  /** Longest deadline that a request may specify. */
  Duration max_deadline{0};
  /** Time without a statement after which a transaction is rolled back. */
  Duration transaction_idle_limit{0};

  auto operator<=>(const ServiceConfig&) const = default;
};

/** Configuration of a caller: its keys and the services that it may use. */
struct CallerConfig {
  /** Name of the caller. */
  CallerId caller;
  /** SHA-256 hashes of the accepted keys, in hex; more than one during a key
      rotation. */
  std::vector<std::string> key_hashes;
  /** Services with which the caller may open sessions. */
  std::vector<ServiceId> services;

  auto operator<=>(const CallerConfig&) const = default;
};

/** Configuration document of an environment. */
struct Document {
  /** All services. */
  std::vector<ServiceConfig> services;
  /** All callers. */
  std::vector<CallerConfig> callers;

  auto operator<=>(const Document&) const = default;

  /** @param service  name of a service
      @returns        the service, or nullptr if the document has none of this
                      name */
  const ServiceConfig* FindService(const ServiceId& service) const;
  /** @param caller  name of a caller
      @returns       the caller, or nullptr if the document has none of this
                     name */
  const CallerConfig* FindCaller(const CallerId& caller) const;
  /** @param group  name of a group
      @returns      the group, or nullptr if the document has none of this name
   */
  const GroupConfig* FindGroup(const GroupId& group) const;
  /** @param group  name of a group
      @returns      the service that contains the group, or nullptr if the
                    document has no group of this name */
  const ServiceConfig* FindServiceOfGroup(const GroupId& group) const;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DOCUMENT_MODEL_DOCUMENT_MODEL_H_
