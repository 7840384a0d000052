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
  /** Address that the pooler listens on. */
  SocketAddress listen;
  /** Address of the platform's service. */
  SocketAddress platform;
  /** Environment whose rows in the platform's table the pooler uses. */
  std::string environment = "production";
  /** Name of the pooler's VM in the platform's list. */
  std::string vm;
  /** Addresses of endpoints. */
  EndpointAddressMap endpoints;
  /** "host:port" of the poolers that are asked for the document before the list
      of VMs is known. */
  std::vector<std::string> peers;
  /** Name of the policy: the product's behaviour or a baseline for experiments.
   */
  std::string policy = "standard";
  /** Time without an answer after which a primary is suspected to be lost, in
      milliseconds. */
  int64_t suspect_timeout_ms = 700;
  /** Maximum wait for requests in progress when the pooler stops, in
      milliseconds. */
  int64_t drain_ms = 30000;
  /** Time for open transactions to end when the pooler stops, in milliseconds.
      Those that are open after it and have no statement in progress are
      rolled back. */
  int64_t transaction_grace_period_ms = 5000;
};

/** Parses the settings from flags and environment variables.

    @param args      arguments of the program
    @param out       receives the settings
    @param findings  receives a finding for each invalid setting
    @returns         whether the program runs, has printed its help, or must
                     report the findings
    @see FlagTable
*/
FlagResult ParsePoolerSettings(std::span<char* const> args,
                               PoolerSettings& out,
                               Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_POOLER_POOLER_SETTINGS_H_
