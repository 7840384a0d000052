#include <array>
#include <span>
#include <utility>

#include "apps/pooler/pooler_process.h"
#include "apps/pooler/pooler_settings.h"
#include "apps/support/serve_policy.h"
#include "process/process.h"

namespace magnoliareel {
namespace {

template <PoolerPolicy P>
int Serve(PoolerSettings settings) {
  return ServeUntilStopped<PoolerProcess<P>>(std::move(settings));
}

constexpr auto kPolicies = std::to_array<NamedPolicy<PoolerSettings>>({
    {"standard", &Serve<StandardPolicy>},
    {"fifo", &Serve<FifoPolicy>},
    {"grants-on-path", &Serve<OnDemandGrantsPolicy>},
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
  return ServeChosenPolicy<PoolerSettings>(result, std::move(settings),
                                           findings, kPolicies);
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
