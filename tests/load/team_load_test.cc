#include "tests/load/team_load.h"

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kFirstTeamFactor = 7.5;

}  // namespace

// Guards against teams that are not served because others keep the connections
// of their holders, statements on another team's connection, and more
// connections than a member accepts.
TEST_GROUP_BASE(TeamLoad, TeamLoadGroup){};

TEST(TeamLoad, EveryTeamIsServedAfterARestartOfAllVms) {
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    TeamLoad it(seed);
    const TimePoint restart = it.queue.Now();
    it.simulation.KillVms(milliseconds(300));
    // The members keep the connections of the VMs that were killed for 3 s.
    const TimePoint recovered = restart + seconds(4);
    it.load.RunUntil(recovered + seconds(5), 1);
    it.queue.RunUntil(it.queue.Now() + seconds(2));
    it.CheckConnections();
    it.CheckShares(recovered, recovered + seconds(5), 0);
  }
}

TEST(TeamLoad, OneTeamAt7TimesItsLoadDoesNotAffectTheOthers) {
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    TeamLoad it(seed);
    const TimePoint begin = it.queue.Now();
    it.load.SetFirstTeamFactor(kFirstTeamFactor);
    // The others send as much as before.
    it.load.RunUntil(begin + seconds(6),
                     (kTeams - 1 + kFirstTeamFactor) / kTeams);
    it.queue.RunUntil(it.queue.Now() + seconds(2));
    it.CheckConnections();
    it.CheckShares(begin + seconds(1), begin + seconds(6), 1);
  }
}

}  // namespace magnoliareel
