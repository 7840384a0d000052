#ifndef MAGNOLIAREEL_APPS_LOAD_LOAD_SETTINGS_H_
#define MAGNOLIAREEL_APPS_LOAD_LOAD_SETTINGS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** A caller whose requests are simulated. */
struct LoadCaller {
  /** Name of the caller. */
  std::string name;
  /** Key that authenticates the caller. */
  std::string key;
  /** Weight with which the caller is chosen, relative to the other callers. */
  int64_t weight = 1;
};

/** Settings of magnoliareel-load. */
struct LoadSettings {
  /** Addresses of entries; each request goes to one at random. */
  std::vector<std::string> entries;
  /** Callers to simulate. */
  std::vector<LoadCaller> callers;
  /** Name of the service that requests use. */
  std::string service;
  /** Seed of all random choices. */
  int64_t seed = 1;
  /** Duration of the run, in milliseconds. */
  int64_t duration_ms = 10000;
  /** Requests per second. */
  int64_t rate = 200;
  /** Factor by which the rate grows during the burst (flag --crest-factor). */
  int64_t burst_rate_factor = 1;
  /** Start of the burst, in milliseconds after the start of the run (flag
      --crest-at-ms). */
  int64_t burst_start_ms = 0;
  /** Duration of the burst, in milliseconds (flag --crest-for-ms). */
  int64_t burst_duration_ms = 0;
  /** Number of records that requests use. */
  int64_t records = 200;
  /** Single writes per 1000 requests. */
  int64_t writes_permille = 300;
  /** Transactions of two writes per 1000 requests. */
  int64_t transactions_permille = 0;
  /** Long statements per 1000 reads and single writes. */
  int64_t long_permille = 0;
  /** Run time of a long statement, in milliseconds. */
  int64_t long_ms = 500;
  /** 1 if requests declare the work class of long statements, 0 otherwise. */
  int64_t declare_long_statements = 1;
  /** Run time of a short statement, in milliseconds; 0 uses the default of the
      endpoint. */
  int64_t short_ms = 0;
  /** Deadline of a request, in milliseconds. */
  int64_t deadline_ms = 5000;
  /** Maximum age of data that reads accept, in milliseconds; -1 omits it from
      requests. */
  int64_t max_age_ms = -1;
  /** Writes declared idempotent per 1000 single writes. */
  int64_t idempotent_permille = 500;
  /** File that receives the history; empty to record none. */
  std::string history;
  /** File that receives the report as JSON; empty to write none. */
  std::string report;
};

/** Parses the settings from flags and environment variables.

    @param args      arguments of the program
    @param out       receives the settings
    @param findings  receives a finding for each invalid setting
    @returns         whether the program runs, has printed its help, or must
                     report the findings
    @see FlagTable
*/
FlagResult ParseLoadSettings(std::span<char* const> args,
                             LoadSettings& out,
                             Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_LOAD_LOAD_SETTINGS_H_
