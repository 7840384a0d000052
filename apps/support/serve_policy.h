#ifndef MAGNOLIAREEL_APPS_SUPPORT_SERVE_POLICY_H_
#define MAGNOLIAREEL_APPS_SUPPORT_SERVE_POLICY_H_

#include <algorithm>
#include <span>
#include <string_view>
#include <utility>

#include "core/core.h"
#include "process/process.h"
#include "settings/settings.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** A behaviour of a program that can be chosen by name.

    @tparam Settings  of the program
*/
template <class Settings>
struct NamedPolicy {
  /** The name. */
  std::string_view name;
  /** Runs the program with it; returns the exit code. */
  int (*serve)(Settings);
};

/** Runs a process until a stop signal.

    @tparam Process   made from the settings, with Start() and Stop()
    @param settings  of the program
    @returns         the exit code
*/
template <class Process, class Settings>
int ServeUntilStopped(Settings settings) {
  Process process(std::move(settings));
  if (process.Start()) {
    return kExitCannotListen;
  }
  WaitForStopSignal();
  process.Stop();
  return kExitOk;
}

/** Runs a program with the policy that its settings name.

    @param result    of parsing the settings
    @param settings  with a member `policy`
    @param findings  of the settings
    @param policies  to choose from
    @returns         the exit code
*/
template <class Settings>
int ServeChosenPolicy(FlagResult result,
                      Settings settings,
                      Findings& findings,
                      std::span<const NamedPolicy<Settings>> policies) {
  const auto policy = std::find_if(
      policies.begin(), policies.end(),
      [&settings](const auto& it) { return it.name == settings.policy; });
  if (policy == policies.end()) {
    findings.Add("--policy", Error::kBadSetting,
                 "no policy of this name is known");
  }
  if (result == FlagResult::kRun && !findings.IsEmpty()) {
    result = FlagResult::kFaulty;
  }
  if (result != FlagResult::kRun) {
    return ReportSettings(result, findings);
  }
  StartLog();
  return policy->serve(std::move(settings));
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_SUPPORT_SERVE_POLICY_H_
