#ifndef MAGNOLIAREEL_APPS_ENTRY_ENTRY_SETTINGS_H_
#define MAGNOLIAREEL_APPS_ENTRY_ENTRY_SETTINGS_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/core.h"
#include "seal/seal.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Settings of magnoliareel-entry. */
struct EntrySettings {
  /** Address that the entry listens on. */
  SocketAddress listen;
  /** Address of the platform's service. */
  SocketAddress platform;
  /** Environment whose rows in the platform's table the entry reads. */
  std::string environment = "production";
  /** Name of the entry's VM in the platform's list. */
  std::string vm;
  /** Name of the entry's site in the document. */
  std::string site;
  /** "host:port" of the poolers that are asked for the document before the list
      of VMs is known. */
  std::vector<std::string> peers;
  /** Keys that authenticate session tokens. The first key seals new tokens. */
  std::vector<SealingKey> token_keys;
  /** Name of the policy: the product's behaviour or a baseline for experiments.
   */
  std::string policy = "standard";
  /** Maximum number of caller connections. */
  int64_t max_connections = 20000;
  /** Maximum size of a request body, in bytes. */
  int64_t max_body_bytes = 128 * 1024;
  /** Number of threads that read and write caller connections. */
  int64_t threads = 2;
  /** Maximum wait for requests in progress when the entry stops, in
      milliseconds. */
  int64_t drain_ms = 30000;
};

/** Parses the settings from flags and environment variables.

    @param args      arguments of the program
    @param out       receives the settings
    @param findings  receives a finding for each invalid setting
    @returns         whether the program runs, has printed its help, or must
                     report the findings
    @see FlagTable
*/
FlagResult ParseEntrySettings(std::span<char* const> args,
                              EntrySettings& out,
                              Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_ENTRY_ENTRY_SETTINGS_H_
