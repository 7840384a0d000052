#include <array>
#include <span>
#include <utility>

#include "apps/entry/entry_process.h"
#include "apps/entry/entry_settings.h"
#include "apps/support/serve_policy.h"
#include "process/process.h"

namespace magnoliareel {
namespace {

template <EntryPolicy P>
int Serve(EntrySettings settings) {
  return ServeUntilStopped<EntryProcess<P>>(std::move(settings));
}

constexpr auto kPolicies = std::to_array<NamedPolicy<EntrySettings>>({
    {"standard", &Serve<StandardEntryPolicy>},
    {"primary-reads", &Serve<PrimaryReadsPolicy>},
    {"unmarked-reads", &Serve<StaleReadsPolicy>},
    {"no-doubt", &Serve<AssumeNotRunPolicy>},
    {"no-probes", &Serve<NoProbesPolicy>},
});

int Run(std::span<char* const> args) {
  BlockStopSignals();
  EntrySettings settings;
  Findings findings;
  const FlagResult result = ParseEntrySettings(args, settings, findings);
  return ServeChosenPolicy<EntrySettings>(result, std::move(settings), findings,
                                          kPolicies);
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
