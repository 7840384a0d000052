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

/** A caller that the load plays. */
struct LoadCaller {
  /** Its name. */
  std::string name;
  /** Its key. */
  std::string key;
  /** Its share of the arrivals, relative to the others. */
  int64_t weight = 1;
};

/** Settings of magnoliareel-load. */
struct LoadSettings {
  /** Addresses of entries; each request goes to one at random. */
  std::vector<std::string> entries;
  /** The callers. */
  std::vector<LoadCaller> callers;
  /** The service. */
  std::string service;
  /** Seed of arrivals and choices. */
  int64_t seed = 1;
  /** Length of the run, in milliseconds. */
  int64_t duration_ms = 10000;
  /** Arrivals in a second. */
  int64_t rate = 200;
  /** Factor by which arrivals grow during the crest. */
  int64_t burst_rate_factor = 1;
  /** Begin of the crest, in milliseconds. */
  int64_t burst_start_ms = 0;
  /** Length of the crest, in milliseconds. */
  int64_t burst_duration_ms = 0;
  /** Records in use. */
  int64_t records = 200;
  /** Writes, in a thousand arrivals. */
  int64_t writes_permille = 300;
  /** Transactions of two writes, in a thousand arrivals. */
  int64_t transactions_permille = 0;
  /** Long statements, in a thousand arrivals. */
  int64_t long_permille = 0;
  /** Run time of a long statement, in milliseconds. */
  int64_t long_ms = 500;
  /** Whether long statements are declared as such. */
  int64_t declare_long_statements = 1;
  /** Run time of a short statement, in milliseconds; 0 leaves it to the
      endpoint. */
  int64_t short_ms = 0;
  /** Deadline of a request, in milliseconds. */
  int64_t deadline_ms = 5000;
  /** Age that reads accept, in milliseconds; -1 if they name none. */
  int64_t max_age_ms = -1;
  /** Idempotent writes, in a thousand writes. */
  int64_t idempotent_permille = 500;
  /** File for the history; empty if none is wanted. */
  std::string history;
  /** File for the report. */
  std::string report;
};

/** Reads the settings.

    @param args      the program's arguments
    @param out       receives the settings
    @param findings  receives every fault
    @returns         what the program does next
*/
FlagResult ParseLoadSettings(std::span<char* const> args,
                             LoadSettings& out,
                             Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_LOAD_LOAD_SETTINGS_H_
