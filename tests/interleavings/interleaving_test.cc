#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "telemetry/telemetry.h"
#include "tests/interleavings/path_search.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

/** Reads a number from an environment variable. */
uint64_t ReadNumber(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::string_view GetOutcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kClean:
      return "clean";
    case RunOutcome::kPruned:
      return "ended in a known state";
    case RunOutcome::kLost:
      return "LOST";
    case RunOutcome::kNoPrimary:
      return "no primary";
    case RunOutcome::kWaitsForPerson:
      return "waits for a person";
  }
  return "";
}

/** Discards the log, which the timeline replaces. */
void DiscardLog() {
  static LogBuffer buffer(1);
  static const bool is_started = [] {
    StartBufferedLog(buffer, "search");
    return true;
  }();
  (void)is_started;
}

constexpr TimedFault MakeFault(int ms,
                               FaultKind kind,
                               size_t subject = 0,
                               size_t object = 0) {
  return {std::chrono::milliseconds(ms), {kind, subject, object}};
}

}  // namespace

TEST_GROUP(Interleavings) {
  SearchOptions options;

  void setup() override {
    DiscardLog();
    options.depth = ReadNumber("MAGNOLIAREEL_SEARCH_DEPTH", 2);
    options.max_runs = ReadNumber("MAGNOLIAREEL_SEARCH_RUNS", 1000000);
    options.listing_delay = std::chrono::milliseconds(
        ReadNumber("MAGNOLIAREEL_SEARCH_LISTING_MS", 900));
  }

  // Searches from a start and fails with the timeline of a shortest path.
  void Search(const char* name, std::vector<TimedFault> start) {
    PathSearch search(options, std::move(start));
    const SearchReport report =
        search.Run(ReadNumber("MAGNOLIAREEL_SEARCH_FAILURES", 1));
    std::printf(
        "\n%s: %zu states, %zu runs (%zu ended in a known state, %zu wait for "
        "a person), %zu points, all paths with up to %zu faults%s\n",
        name, report.states, report.runs, report.pruned, report.waiting,
        report.points, report.completed_depth,
        report.is_truncated ? ", truncated" : "");
    for (const FailedPath& failure : report.failures) {
      std::printf("%s after %zu faults:\n",
                  std::string(GetOutcomeName(failure.outcome)).c_str(),
                  failure.path.size());
      for (const std::string& it : search.ListEvents(failure.path)) {
        std::printf("%s\n", it.c_str());
      }
    }
    CHECK_TRUE(report.failures.empty());
  }
};

TEST(Interleavings, KeepCommitsFromAQuietStart) {
  Search("quiet start", {});
}

TEST(Interleavings, KeepCommitsWhileAReplicaIsDeaf) {
  Search("a deaf replica", {MakeFault(4900, FaultKind::kDeafen, 1)});
}

TEST(Interleavings, KeepCommitsWhileAllReplicasAreDeaf) {
  Search("all replicas deaf", {MakeFault(5000, FaultKind::kDeafenAll)});
}

TEST(Interleavings, KeepCommitsWhileThePrimaryDrains) {
  Search("a draining primary", {MakeFault(4700, FaultKind::kDrain)});
}

}  // namespace magnoliareel
