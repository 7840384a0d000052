#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_ENTRY_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <string>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** What an endpoint says of itself in the platform's directory. */
struct EndpointEntry {
  EndpointId id;
  ServiceId service;
  SocketAddress address;
  SiteId site;
  /** Statements that it runs at a time. */
  uint32_t slots = 0;
  /** It ends soon and takes no new work. */
  bool draining = false;
  /** It sees itself as its service's primary. */
  bool claims_primary = false;
  /** Time of its start in Unix milliseconds; differs between lifetimes. */
  int64_t started_at_ms = 0;

  bool operator==(const EndpointEntry&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_ENTRY_H_
