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

/** A behaviour of a program that the settings select by name.

    @tparam Settings  settings type of the program
*/
template <class Settings>
struct NamedPolicy {
  /** Name in the settings. */
  std::string_view name;
  /** Runs the program with this policy; returns the exit code. */
  int (*serve)(Settings);
};

/** Runs a process until a stop signal arrives.

    @tparam Process  constructible from `Settings`, with Start() and Stop()
    @param settings  settings of the program
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

/** Runs a program with the policy that its settings select.

    @param result    result of parsing the settings
    @param settings  settings with a member `policy`
    @param findings  findings of the settings; an unknown policy adds one
    @param policies  the available policies
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
    result = FlagResult::kInvalid;
  }
  if (result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  StartLog();
  return policy->serve(std::move(settings));
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_SUPPORT_SERVE_POLICY_H_
