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
  /** Where it listens. */
  SocketAddress listen;
  /** The platform's service. */
  SocketAddress platform;
  /** Environment whose rows it uses. */
  std::string environment = "production";
  /** Its VM, as named in the platform's list. */
  std::string vm;
  /** Its site, as named in the document. */
  std::string site;
  /** Poolers to ask for the document before the list of VMs is known. */
  std::vector<std::string> peers;
  /** Keys that authenticate session tokens, the sealing one first. */
  std::vector<SealingKey> token_keys;
  /** The product's behaviour, or a baseline for experiments. */
  std::string policy = "standard";
  /** Most caller connections. */
  int64_t max_connections = 20000;
  /** Largest request body, in bytes. */
  int64_t max_body_bytes = 128 * 1024;
  /** Threads that read and write caller connections. */
  int64_t threads = 2;
  /** Longest time for requests in progress to end at a stop, in milliseconds.
   */
  int64_t drain_ms = 30000;
};

/** Reads the settings.

    @param args      the program's arguments
    @param out       receives the settings
    @param findings  receives every fault
    @returns         what the program does next
*/
FlagResult ParseEntrySettings(std::span<char* const> args,
                              EntrySettings& out,
                              Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_ENTRY_ENTRY_SETTINGS_H_
