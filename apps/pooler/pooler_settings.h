#ifndef MAGNOLIAREEL_APPS_POOLER_POOLER_SETTINGS_H_
#define MAGNOLIAREEL_APPS_POOLER_POOLER_SETTINGS_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/core.h"
#include "links/links.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Settings of magnoliareel-pooler. */
struct PoolerSettings {
  /** Where it listens. */
  SocketAddress listen;
  /** The platform's service. */
  SocketAddress platform;
  /** Environment whose rows it uses. */
  std::string environment = "production";
  /** Its VM, as named in the platform's list. */
  std::string vm;
  /** Addresses of endpoints. */
  EndpointDirectory endpoints;
  /** Poolers to ask for the document before the list of VMs is known. */
  std::vector<std::string> peers;
  /** The product's behaviour, or a baseline for experiments. */
  std::string policy = "standard";
  /** Silence after which a primary counts as lost, in milliseconds. */
  int64_t suspect_timeout_ms = 700;
  /** Longest time for requests in progress to end at a stop, in milliseconds.
   */
  int64_t drain_ms = 30000;
  /** Time that open transactions get at a stop, in milliseconds. */
  int64_t transaction_grace_period_ms = 5000;
};

/** Reads the settings.

    @param args      the program's arguments
    @param out       receives the settings
    @param findings  receives every fault
    @returns         what the program does next
*/
FlagResult ParsePoolerSettings(std::span<char* const> args,
                               PoolerSettings& out,
                               Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_POOLER_POOLER_SETTINGS_H_
