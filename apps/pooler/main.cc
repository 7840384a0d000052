#include <algorithm>
#include <array>
#include <span>
#include <string_view>
#include <utility>

#include "apps/pooler/pooler_process.h"
#include "apps/pooler/pooler_settings.h"
#include "process/process.h"
#include "settings/settings.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {
namespace {

template <PoolerPolicy P>
int Serve(PoolerSettings settings) {
  PoolerProcess<P> process(std::move(settings));
  if (process.Start()) {
    return kExitCannotListen;
  }
  WaitForStopSignal();
  process.Stop();
  return kExitOk;
}

/** A behaviour that can be chosen by name. */
struct NamedPolicy {
  std::string_view name;
  int (*serve)(PoolerSettings);
};

constexpr auto kPolicies = std::to_array<NamedPolicy>({
    {"standard", &Serve<StandardPolicy>},
    {"fifo", &Serve<FifoPolicy>},
    {"grants-on-path", &Serve<GrantsOnPathPolicy>},
    {"primary-acks", &Serve<PrimaryAcksPolicy>},
    {"unrecorded", &Serve<UnrecordedPolicy>},
    {"unpinned", &Serve<UnpinnedPolicy>},
    {"unmatched", &Serve<UnmatchedPolicy>},
    {"leaving-ignored", &Serve<LeavingIgnoredPolicy>},
    {"no-peers", &Serve<NoPeersPolicy>},
});

int Run(std::span<char* const> args) {
  BlockStopSignals();
  PoolerSettings settings;
  Findings findings;
  const FlagResult result = ParsePoolerSettings(args, settings, findings);
  const auto policy = std::find_if(kPolicies.begin(), kPolicies.end(),
                                   [&settings](const NamedPolicy& it) {
                                     return it.name == settings.policy;
                                   });
  if (policy == kPolicies.end()) {
    findings.Add("--policy", Error::kBadSetting,
                 "no policy of this name is known");
  }
  if (result != FlagResult::kRun || !findings.IsEmpty()) {
    return ReportSettings(
        result == FlagResult::kRun ? FlagResult::kFaulty : result, findings);
  }
  StartLog();
  return policy->serve(std::move(settings));
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
