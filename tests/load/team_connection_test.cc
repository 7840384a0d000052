#include <cstddef>
#include <string>

#include "tests/load/team_load.h"

namespace magnoliareel {
namespace {

// All holders together have 48 connections to a member: three quarters of those
// that are not reserved.
constexpr double kHolderConnections = 48;
constexpr double kMembers = 3;
// Teams that have none at a time; with equal load, this share of the statements
// finds none.
constexpr double kUnconnectedShare =
    (static_cast<double>(kTeams) - kHolderConnections) / kTeams;

}  // namespace

TEST_GROUP_BASE(TeamConnections, TeamLoadGroup){};

TEST(TeamConnections, AreOpenedOnlyForTeamsThatHaveNone) {
  // Guards against handshakes that no statement needs: each occupies a slot for
  // longer than a statement.
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    TeamLoad it(seed);
    it.load.RunUntil(it.queue.Now() + std::chrono::seconds(9), 1);
    it.queue.RunUntil(it.queue.Now() + std::chrono::seconds(2));
    const auto statements = static_cast<double>(
        it.simulation.GetGroup().GetExecutedStatements().size());
    const auto opened = static_cast<double>(it.CountOpened());
    const double bound =
        kMembers * kHolderConnections + kUnconnectedShare * statements;
    const std::string text = "opened " + std::to_string(opened) + " of " +
                             std::to_string(bound) + " for " +
                             std::to_string(statements) + " statements";
    CHECK_TEXT(opened <= bound, text.c_str());
  }
}

}  // namespace magnoliareel
