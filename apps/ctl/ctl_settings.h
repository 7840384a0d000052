#ifndef MAGNOLIAREEL_APPS_CTL_CTL_SETTINGS_H_
#define MAGNOLIAREEL_APPS_CTL_CTL_SETTINGS_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Settings of magnoliareelctl. */
struct CtlSettings {
  /** Command, followed by its arguments. */
  std::vector<std::string> arguments;
  /** Address of the platform's service. Only `check` works without it. */
  SocketAddress platform;
  /** Environment that the command reads or changes. */
  std::string environment = "production";
  /** Environment whose document `promote` applies. */
  std::string trial_environment = "trial";
  /** Name of the operator, recorded with each change of the configuration. */
  std::string operator_name;
  /** Version that must be in force for a change to be applied; -1 accepts any
      version. */
  int64_t expected_version = -1;
  /** Output format of `status`: 1 for JSON, 0 for text. */
  int64_t print_json = 0;
};

/** Parses the settings from flags and environment variables.

    @param args      arguments of the program
    @param out       receives the settings
    @param findings  receives a finding for each invalid setting
    @returns         whether the program runs, has printed its help, or must
                     report the findings
    @see FlagTable
*/
FlagResult ParseCtlSettings(std::span<char* const> args,
                            CtlSettings& out,
                            Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_CTL_CTL_SETTINGS_H_
