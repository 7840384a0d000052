#include <cstdio>
#include <cstdlib>
#include <map>
#include <span>
#include <string>
#include <utility>
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

/** Faults that all paths of a search have in common. */
struct SearchStart {
  const char* name;
  std::vector<TimedFault> faults;
};

std::vector<SearchStart> ListStarts() {
  return {{"a quiet start", {}},
          {"a deaf replica", {MakeFault(4900, FaultKind::kDeafen, 1)}},
          {"all replicas deaf", {MakeFault(5000, FaultKind::kDeafenAll)}},
          {"a draining primary", {MakeFault(4700, FaultKind::kDrain)}},
          {"a VM that does not reach the primary",
           {MakeFault(4900, FaultKind::kCutVm, 0, 0)}},
          {"slow orders, whose endpoints receive nothing meanwhile",
           {MakeFault(0, FaultKind::kSlowOrders),
            MakeFault(0, FaultKind::kDeafenOrdered)}},
          {"a draining primary and such orders",
           {MakeFault(0, FaultKind::kSlowOrders),
            MakeFault(0, FaultKind::kDeafenOrdered),
            MakeFault(4700, FaultKind::kDrain)}},
          {"a VM that does not reach the primary and such orders",
           {MakeFault(0, FaultKind::kSlowOrders),
            MakeFault(0, FaultKind::kDeafenOrdered),
            MakeFault(4900, FaultKind::kCutVm, 0, 0)}},
          {"all replicas deaf and such orders",
           {MakeFault(0, FaultKind::kSlowOrders),
            MakeFault(0, FaultKind::kDeafenOrdered),
            MakeFault(5000, FaultKind::kDeafenAll)}}};
}

SearchOptions ReadOptions() {
  SearchOptions options;
  options.depth = ReadNumber("MAGNOLIAREEL_SEARCH_DEPTH", 2);
  options.max_runs = ReadNumber("MAGNOLIAREEL_SEARCH_RUNS", 1000000);
  options.listing_delay = std::chrono::milliseconds(
      ReadNumber("MAGNOLIAREEL_SEARCH_LISTING_MS", 900));
  return options;
}

/** Prints a timeline, without reports that repeat the one before. */
void PrintTimeline(std::span<const std::string> lines) {
  std::map<std::string, std::string> reports;
  for (const std::string& it : lines) {
    const size_t text = it.find("vm-");
    const size_t answer = it.find(": ", text + 6);
    if (text != std::string::npos && it.find(": report at ") == text + 4 &&
        answer != std::string::npos &&
        std::exchange(reports[it.substr(text, answer - text)],
                      it.substr(answer)) == it.substr(answer)) {
      continue;
    }
    std::printf("%s\n", it.c_str());
  }
}

void PrintReport(const char* name, SearchReport& report) {
  std::printf(
      "\n%s: %zu states, %zu runs, of these %zu ended in a known state, %zu "
      "LOST, %zu without a primary, %zu wait for a person; up to %zu events "
      "with choices; all paths with up to %zu faults%s\n",
      name, report.states, report.runs, report.outcomes[RunOutcome::kPruned],
      report.outcomes[RunOutcome::kLost],
      report.outcomes[RunOutcome::kNoPrimary],
      report.outcomes[RunOutcome::kWaitsForPerson], report.points,
      report.completed_depth, report.is_truncated ? ", truncated" : "");
}

/** Searches from one start and prints the shortest paths with the outcome.

    @returns whether there is none */
bool HasNoPath(const SearchStart& start, RunOutcome outcome) {
  DiscardLog();
  const SearchOptions options = ReadOptions();
  PathSearch search(options, start.faults);
  SearchReport report =
      search.Run(outcome, ReadNumber("MAGNOLIAREEL_SEARCH_FAILURES", 1));
  PrintReport(start.name, report);
  for (const Path& path : report.failures) {
    std::printf("failed with %zu faults after the start:\n", path.size());
    PrintTimeline(search.ListEvents(path));
  }
  return report.failures.empty();
}

/** Runs one path of faults at fixed times. */
RunOutcome RunFaults(std::span<const TimedFault> faults) {
  DiscardLog();
  SearchWorld world({}, {}, faults);
  world.StartTimeline();
  const RunOutcome outcome = world.Run();
  PrintTimeline(world.GetTimeline());
  return outcome;
}

/** @returns whether no path from the start loses an acknowledged commit */
bool KeepsCommits(size_t start) {
  return HasNoPath(ListStarts()[start], RunOutcome::kLost);
}

/** @returns whether a primary is found on every path from the start */
bool FindsPrimaries(size_t start) {
  return HasNoPath(ListStarts()[start], RunOutcome::kNoPrimary);
}

}  // namespace

TEST_GROUP(Interleavings){};

TEST(Interleavings, KeepCommitsFromAQuietStart) {
  CHECK_TRUE(KeepsCommits(0));
}

TEST(Interleavings, KeepCommitsWhileAReplicaIsDeaf) {
  CHECK_TRUE(KeepsCommits(1));
}

TEST(Interleavings, KeepCommitsWhileAllReplicasAreDeaf) {
  CHECK_TRUE(KeepsCommits(2));
}

TEST(Interleavings, KeepCommitsWhileThePrimaryDrains) {
  CHECK_TRUE(KeepsCommits(3));
}

TEST(Interleavings, KeepCommitsWhileTheDutyHolderDoesNotReachThePrimary) {
  CHECK_TRUE(KeepsCommits(4));
}

TEST(Interleavings, KeepCommitsWhileOrdersAreSlow) {
  CHECK_TRUE(KeepsCommits(5));
}

TEST(Interleavings, KeepCommitsWhileOrdersAreSlowAndThePrimaryDrains) {
  CHECK_TRUE(KeepsCommits(6));
}

TEST(Interleavings, KeepCommitsWhileOrdersAreSlowAndAVmIsCutOff) {
  CHECK_TRUE(KeepsCommits(7));
}

TEST(Interleavings, KeepCommitsWhileOrdersAreSlowAndAllReplicasAreDeaf) {
  CHECK_TRUE(KeepsCommits(8));
}

TEST(Interleavings, KeepsCommitsOfAPrimaryThatTheDutyHolderDoesNotReach) {
  // A primary without a report was replaced without a demotion, and went on to
  // acknowledge through a replica that joined behind the survey.
  const TimedFault faults[] = {MakeFault(5000, FaultKind::kDeafenAll),
                               MakeFault(5300, FaultKind::kCutVm, 0, 0),
                               MakeFault(5900, FaultKind::kJoin)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsWhenTheOldPrimaryIsConfirmedAfterAnOrder) {
  // The confirmation comes from a traffic thread that uses the service for the
  // first time. It passes for that of the promotion, and ends the pauses on
  // which the promotion relies.
  const TimedFault faults[] = {
      MakeFault(4700, FaultKind::kDrain),
      MakeFault(5255, FaultKind::kLoseCommandAnswer, 0),
      MakeFault(5580, FaultKind::kFirstReply, 0),
      MakeFault(5620, FaultKind::kDeafen, 1)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsOfAReplicaThatIsUnlistedWhenThePrimaryCrashes) {
  // The replica that has joined holds the only copy, and the survey of the
  // replicas ends before the directory lists it.
  const TimedFault faults[] = {MakeFault(5000, FaultKind::kDeafenAll),
                               MakeFault(5025, FaultKind::kJoin),
                               MakeFault(5225, FaultKind::kCrash, 0)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsOfAReplicaThatLeavesBeforeItIsListed) {
  // The demoted primary holds the commits. No listing shows the replica, so the
  // end of the primary's log passes for one that was not acknowledged.
  const TimedFault faults[] = {MakeFault(5000, FaultKind::kDeafenAll),
                               MakeFault(5220, FaultKind::kJoin),
                               MakeFault(5225, FaultKind::kLeave, 3)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsOfAReplicaWhosePauseEndsBeforeTheDemotion) {
  // It receives and acknowledges the end of the log. Only the candidate, which
  // lacks it, was asked again, and was promoted.
  const TimedFault faults[] = {MakeFault(5000, FaultKind::kDeafenAll),
                               MakeFault(5300, FaultKind::kCutVm, 0, 0),
                               MakeFault(5665, FaultKind::kRestartPaused, 2)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsOfAReplicaThatALateResumeReaches) {
  // The same, with a resume that was sent before the pause and is executed
  // after it.
  const TimedFault faults[] = {MakeFault(4666, FaultKind::kDrain),
                               MakeFault(5227, FaultKind::kDeafen, 1),
                               MakeFault(5231, FaultKind::kLateResume, 2)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsWhenADemotedPrimaryLeadsAgainAsAReplicaJoins) {
  // It crashes behind the order, before another endpoint is promoted.
  const TimedFault faults[] = {MakeFault(5000, FaultKind::kDeafenAll),
                               MakeFault(6430, FaultKind::kJoin),
                               MakeFault(6614, FaultKind::kLeadAgain, 0)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsWhenADemotedPrimaryLeadsAgainAsAPauseEnds) {
  // The replica whose pause ends is not the one that was ordered.
  const TimedFault faults[] = {MakeFault(5000, FaultKind::kDeafenAll),
                               MakeFault(5430, FaultKind::kLeadAgain, 0),
                               MakeFault(6614, FaultKind::kRestartPaused, 2)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsWhenANewHolderEndsThePausesOfAnOrder) {
  // The first holder took the refusal of its own connections for the end of
  // the primary. The second one resumes what is paused before the effect.
  const TimedFault faults[] = {MakeFault(0, FaultKind::kSlowOrders),
                               MakeFault(0, FaultKind::kDeafenOrdered),
                               MakeFault(5630, FaultKind::kRefuseVm, 0, 0),
                               MakeFault(5830, FaultKind::kCutPeers)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsOfAPrimaryThatRefusesOnlyOneVm) {
  // It was replaced without a demotion, and went on to acknowledge through a
  // replica that joined.
  const TimedFault faults[] = {MakeFault(0, FaultKind::kSlowOrders),
                               MakeFault(0, FaultKind::kDeafenOrdered),
                               MakeFault(4700, FaultKind::kDrain),
                               MakeFault(5000, FaultKind::kCutPeers),
                               MakeFault(5030, FaultKind::kRefuseVm, 0, 0),
                               MakeFault(5630, FaultKind::kJoin)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsWhenAConfirmationOfThePrimaryIsInFlight) {
  // The confirmation of one VM undoes the demotion by the other one.
  const TimedFault faults[] = {MakeFault(0, FaultKind::kSlowOrders),
                               MakeFault(0, FaultKind::kDeafenOrdered),
                               MakeFault(4700, FaultKind::kDrain),
                               MakeFault(6030, FaultKind::kCutPeers),
                               MakeFault(6430, FaultKind::kRefuseVm, 0, 1)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsWhenTheOrderOfALostVmIsInFlight) {
  // It takes effect behind the demotion by the next holder, whose own order
  // follows.
  const TimedFault faults[] = {MakeFault(0, FaultKind::kSlowOrders),
                               MakeFault(0, FaultKind::kDeafenOrdered),
                               MakeFault(5000, FaultKind::kDeafenAll),
                               MakeFault(5425, FaultKind::kRefuseVm, 0, 1),
                               MakeFault(6469, FaultKind::kLoseOrderAnswer),
                               MakeFault(6610, FaultKind::kLoseVm, 0)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsWhenTheOrderOfAnUnheardVmIsInFlight) {
  // Its endpoint leads until the order of the other VM takes effect.
  const TimedFault faults[] = {
      MakeFault(0, FaultKind::kSlowOrders),
      MakeFault(0, FaultKind::kDeafenOrdered),
      MakeFault(4700, FaultKind::kDrain),
      MakeFault(5000, FaultKind::kCutPeers),
      MakeFault(5260, FaultKind::kLoseCommandAnswer, 2),
      MakeFault(5430, FaultKind::kDeafen, 1)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsWhenACrashedPrimaryIsBackBeforeTheEffect) {
  // It acknowledges through a replica that joined, until the next demotion.
  const TimedFault faults[] = {MakeFault(0, FaultKind::kSlowOrders),
                               MakeFault(0, FaultKind::kDeafenOrdered),
                               MakeFault(4700, FaultKind::kDrain),
                               MakeFault(5030, FaultKind::kCrashBriefly, 0),
                               MakeFault(5052, FaultKind::kJoin)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST(Interleavings, KeepCommitsWhenAVmThatStoodStillOrders) {
  // Its order is accepted while the next holder checks the group.
  const TimedFault faults[] = {MakeFault(0, FaultKind::kSlowOrders),
                               MakeFault(0, FaultKind::kDeafenOrdered),
                               MakeFault(5000, FaultKind::kDeafenAll),
                               MakeFault(5409, FaultKind::kOverload, 1),
                               MakeFault(6077, FaultKind::kJoin),
                               MakeFault(6610, FaultKind::kFreezeVm, 0)};
  CHECK_TRUE(RunFaults(faults) != RunOutcome::kLost);
}

TEST_GROUP(Recovery){};

TEST(Recovery, FindsAPrimaryFromAQuietStart) {
  CHECK_TRUE(FindsPrimaries(0));
}

TEST(Recovery, FindsAPrimaryAfterAReplicaWasDeaf) {
  CHECK_TRUE(FindsPrimaries(1));
}

TEST(Recovery, FindsAPrimaryAfterAllReplicasWereDeaf) {
  CHECK_TRUE(FindsPrimaries(2));
}

TEST(Recovery, FindsAPrimaryAfterADrain) {
  CHECK_TRUE(FindsPrimaries(3));
}

TEST(Recovery, FindsAPrimaryAfterTheDutyHolderDidNotReachIt) {
  CHECK_TRUE(FindsPrimaries(4));
}

TEST(Recovery, FindsAPrimaryWhenTheSuccessorOfACrashedOneDrains) {
  // The entry of the crashed one still reports the role when the successor
  // leaves.
  const TimedFault faults[] = {MakeFault(5030, FaultKind::kCrash, 0),
                               MakeFault(5430, FaultKind::kDrain)};
  CHECK_TRUE(RunFaults(faults) == RunOutcome::kClean);
}

}  // namespace magnoliareel
