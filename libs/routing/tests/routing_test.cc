#include <vector>

#include "routing/routing.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

TEST_GROUP(Reads) {
  const GroupConfig group{
      {"a"},
      {{{"a1"}, {"x"}, 5, 32}, {{"a2"}, {"y"}, 5, 32}, {{"a3"}, {"z"}, 5, 32}}};
  RouteHints hints;
  ProcessRandom random{1};
};

TEST(Reads, RankReplicasThatHoldThePointFirstAndThePrimaryLast) {
  ReadRequirements requirements;
  requirements.required = {{1}, {5}};
  requirements.site = {"x"};
  requirements.primary = {"a1"};
  requirements.holders = {{"a1"}, {"a3"}};
  const auto order = ReplicasFirst().Rank(group, hints, requirements, random);
  CHECK((order == std::vector<EndpointId>{{"a3"}, {"a2"}, {"a1"}}));
}

TEST(Reads, PreferReplicasAtTheRoutersSite) {
  ReadRequirements requirements;
  requirements.site = {"y"};
  requirements.primary = {"a3"};
  CHECK(ReplicasFirst().Rank(group, hints, requirements, random).front() ==
        EndpointId{"a2"});
}

TEST(Reads, GoToThePrimaryIfTheMaximumAgeIsZero) {
  ReadRequirements requirements;
  requirements.max_age = Duration::zero();
  requirements.primary = {"a2"};
  CHECK(ReplicasFirst().Rank(group, hints, requirements, random).front() ==
        EndpointId{"a2"});
}

TEST(Reads, IgnoreHintsOfOlderTermsAndPoints) {
  CHECK(hints.RecordPrimary({"a"}, {{"a2"}, {4}}));
  CHECK_FALSE(hints.RecordPrimary({"a"}, {{"a1"}, {3}}));
  CHECK(hints.GetPrimary({"a"})->endpoint == EndpointId{"a2"});
  const std::vector<EndpointId> holders = {{"a1"}};
  CHECK(hints.RecordHolders(holders, {{4}, {7}}));
  CHECK_FALSE(hints.RecordHolders(holders, {{4}, {6}}));
  CHECK((hints.GetKnownPoint({"a1"}) == LogPoint{{4}, {7}}));
}

}  // namespace magnoliareel
