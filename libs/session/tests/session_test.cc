#include <vector>

#include "session/session.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

constexpr LogPoint MakePoint(uint64_t term, uint64_t position) {
  return {{term}, {position}};
}

}  // namespace

TEST_GROUP(Freshness) {
  const Lineage lineage = {{{1}, {0}}, {{3}, {10}}, {{4}, {25}}};
};

TEST(Freshness, EveryLogContainsTheBeginning) {
  CHECK(ContainsPoint({}, {0}, LogPoint{}));
}

TEST(Freshness, APointOfTheLastTermRequiresItsPosition) {
  CHECK(ContainsPoint(lineage, {30}, MakePoint(4, 30)));
  CHECK_FALSE(ContainsPoint(lineage, {29}, MakePoint(4, 30)));
}

TEST(Freshness, AnOlderTermEndsAtTheStartOfTheNext) {
  CHECK(ContainsPoint(lineage, {26}, MakePoint(1, 9)));
  CHECK(ContainsPoint(lineage, {10}, MakePoint(1, 12)));
  CHECK_FALSE(ContainsPoint(lineage, {8}, MakePoint(1, 9)));
}

TEST(Freshness, ALogContainsNoPointOfATermOutsideItsLineage) {
  CHECK_FALSE(ContainsPoint(lineage, {100}, MakePoint(2, 1)));
  CHECK_FALSE(ContainsPoint(lineage, {100}, MakePoint(5, 1)));
}

TEST(Freshness, TheNewestObservationThatTheReplicaHoldsBoundsTheAge) {
  const TimePoint start{};
  const std::vector<PrimaryObservation> observations = {
      {start, {5}},
      {start + milliseconds(100), {8}},
      {start + milliseconds(200), {12}}};
  const TimePoint now = start + milliseconds(250);
  CHECK(BoundAge(observations, {12}, now) == milliseconds(50));
  CHECK(BoundAge(observations, {11}, now) == milliseconds(150));
  CHECK(BoundAge(observations, {5}, now) == milliseconds(250));
  CHECK(!BoundAge(observations, {4}, now));
}

TEST_GROUP(Token){};

TEST(Token, WatermarksNeverDecrease) {
  SessionToken token;
  token.RaiseWatermark({{"b"}, MakePoint(2, 5), {"b-1"}, {}});
  token.RaiseWatermark({{"a"}, MakePoint(1, 7), {"a-1"}, {}});
  token.RaiseWatermark({{"b"}, MakePoint(1, 90), {"b-2"}, {}});
  CHECK(token.GetWatermark({"b"}).primary == EndpointId{"b-1"});
  CHECK(token.GetWatermark({"b"}).point == MakePoint(2, 5));
  CHECK(token.GetWatermark({"a"}).point == MakePoint(1, 7));
  CHECK(token.GetWatermark({"c"}).point == LogPoint{});
  token.RaiseWatermark({{"b"}, MakePoint(3, 6), {"b-3"}, {}});
  CHECK(token.GetWatermark({"b"}).primary == EndpointId{"b-3"});
  CHECK(token.GetWatermark({"b"}).point == MakePoint(3, 6));
}

}  // namespace magnoliareel
