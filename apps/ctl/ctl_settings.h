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
  /** The command and its arguments. */
  std::vector<std::string> words;
  /** The platform's service. */
  SocketAddress platform;
  /** Environment that the command concerns. */
  std::string environment = "production";
  /** Environment in which a document must be in force to be promoted. */
  std::string trial = "trial";
  /** Who changes the configuration. */
  std::string operator_name;
  /** Version that the operator read; -1 takes the present one. */
  int64_t expected_version = -1;
  /** Whether to print JSON. */
  int64_t json = 0;
};

/** Reads the settings.

    @param args      the program's arguments
    @param out       receives the settings
    @param findings  receives every fault
    @returns         what the program does next
*/
FlagResult ParseCtlSettings(std::span<char* const> args,
                            CtlSettings& out,
                            Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_CTL_CTL_SETTINGS_H_
