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

TEST(Reads, ReplicasThatHoldThePointComeFirstThePrimaryLast) {
  ReadNeeds needs;
  needs.required = {{1}, {5}};
  needs.site = {"x"};
  needs.primary = {"a1"};
  needs.holders = {{"a1"}, {"a3"}};
  const auto order = ReplicasFirst().Rank(group, hints, needs, random);
  CHECK((order == std::vector<EndpointId>{{"a3"}, {"a2"}, {"a1"}}));
}

TEST(Reads, TheNearerOfTwoEqualReplicasComesFirst) {
  ReadNeeds needs;
  needs.site = {"y"};
  needs.primary = {"a3"};
  CHECK(ReplicasFirst().Rank(group, hints, needs, random).front() ==
        EndpointId{"a2"});
}

TEST(Reads, AnAgeOfZeroGoesToThePrimary) {
  ReadNeeds needs;
  needs.max_age = Duration::zero();
  needs.primary = {"a2"};
  CHECK(ReplicasFirst().Rank(group, hints, needs, random).front() ==
        EndpointId{"a2"});
}

TEST(Reads, HintsOfOlderTermsChangeNothing) {
  CHECK(hints.NotePrimary({"a"}, {{"a2"}, {4}}));
  CHECK_FALSE(hints.NotePrimary({"a"}, {{"a1"}, {3}}));
  CHECK(hints.GetPrimary({"a"})->endpoint == EndpointId{"a2"});
  const std::vector<EndpointId> holders = {{"a1"}};
  CHECK(hints.NoteHolders(holders, {{4}, {7}}));
  CHECK_FALSE(hints.NoteHolders(holders, {{4}, {6}}));
  CHECK((hints.GetPoint({"a1"}) == LogPoint{{4}, {7}}));
}

}  // namespace magnoliareel
