#include "directory/directory.h"

#include <array>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(10)};

VersionedEntry MakeEntry(const char* id, uint64_t version) {
  VersionedEntry versioned;
  versioned.entry.id.value = id;
  versioned.entry.service.value = "groyne-logs";
  versioned.row_version = version;
  return versioned;
}

}  // namespace

TEST_GROUP(Directory){};

TEST(Directory, RefusesAnOlderConfiguration) {
  ActiveRouteTable routes;
  RouteTable table;
  table.version = 7;
  CHECK(routes.ApplyIfNewer(table));
  table.version = 5;
  CHECK(!routes.ApplyIfNewer(table));
  table.version = 7;
  CHECK(!routes.ApplyIfNewer(table));
  LONGS_EQUAL(7, routes.Get()->version);
}

TEST(Directory, KeepsARemovedEntryForTheGracePeriod) {
  EndpointRegistry endpoints;
  CHECK(endpoints.Put(MakeEntry("db-1", 3), {kStart, true}));
  endpoints.MarkRemoved(EndpointId{"db-1"}, 4, kStart);
  LONGS_EQUAL(0, endpoints.Sweep(kStart).size());
  CHECK(endpoints.Find(EndpointId{"db-1"}) != nullptr);
  endpoints.ExtendGracePeriods(kStart + std::chrono::seconds(2));
  LONGS_EQUAL(0, endpoints.Sweep(kStart + std::chrono::seconds(3)).size());
  CHECK(endpoints.Put(MakeEntry("db-1", 9), {kStart, true}));
  LONGS_EQUAL(0, endpoints.Sweep(kStart + std::chrono::seconds(60)).size());
}

TEST(Directory, RemovesAnEntryExactlyAtTheEndOfTheGracePeriod) {
  EndpointRegistry endpoints;
  endpoints.Put(MakeEntry("db-1", 3), {kStart, true});
  endpoints.MarkRemoved(EndpointId{"db-1"}, 4, kStart);
  LONGS_EQUAL(
      1,
      endpoints.Sweep(kStart + EndpointRegistry::kRemovalGracePeriod).size());
}

TEST(Directory, DrainContinuesWhenAnExpiredEntryReturns) {
  // Guards against an endpoint that is leaving and is used anew because its
  // entry expired and was written again (DRAIN).
  EndpointRegistry endpoints;
  const EndpointId id{"db-1"};
  VersionedEntry leaving = MakeEntry("db-1", 3);
  leaving.entry.draining = true;
  endpoints.Put(leaving, {kStart, true});
  CHECK(endpoints.Find(id)->draining_since == kStart);
  leaving.row_version = 4;
  CHECK(!endpoints.Put(leaving, {kStart + std::chrono::seconds(1), true}));
  endpoints.MarkRemoved(id, 5, kStart + std::chrono::seconds(2));
  endpoints.Sweep(kStart + std::chrono::seconds(2));
  leaving.row_version = 6;
  CHECK(endpoints.Put(leaving, {kStart + std::chrono::seconds(3), true}));
  CHECK(endpoints.Find(id)->draining_since == kStart);
  // An endpoint that has started anew is not leaving any more.
  VersionedEntry restarted = MakeEntry("db-1", 7);
  restarted.entry.started_at_ms = 1;
  endpoints.Put(restarted, {kStart + std::chrono::seconds(4), true});
  CHECK(!endpoints.Find(id)->draining_since);
  restarted.row_version = 8;
  restarted.entry.draining = true;
  endpoints.Put(restarted, {kStart + std::chrono::seconds(5), true});
  CHECK(endpoints.Find(id)->draining_since == kStart + std::chrono::seconds(5));
}

TEST(Directory, ADrainOfUnknownAgeIsDatedByAnotherVm) {
  // Guards against a process that takes the time of its own start for the time
  // at which an endpoint reported that it is leaving (DRAIN in review/9).
  EndpointRegistry endpoints;
  const EndpointId id{"db-1"};
  VersionedEntry leaving = MakeEntry("db-1", 3);
  leaving.entry.draining = true;
  leaving.entry.started_at_ms = 7;
  endpoints.Put(leaving, {});
  CHECK(!endpoints.Find(id)->draining_since);
  // It stays unknown when the entry is written again.
  leaving.row_version = 4;
  endpoints.Put(leaving, {kStart, true});
  CHECK(!endpoints.Find(id)->draining_since);
  CHECK(!endpoints.RecordDrain(id, 6, kStart));
  CHECK(endpoints.RecordDrain(id, 7, kStart));
  CHECK(endpoints.Find(id)->draining_since == kStart);
  // Of several times the earliest one counts.
  CHECK(!endpoints.RecordDrain(id, 7, kStart + std::chrono::seconds(1)));
  CHECK(!endpoints.RecordDrain(id, 7, kStart - std::chrono::milliseconds(20)));
  CHECK(endpoints.RecordDrain(id, 7, kStart - std::chrono::seconds(1)));
  CHECK(endpoints.Find(id)->draining_since == kStart - std::chrono::seconds(1));
}

TEST(Directory, ABoundOfADrainTimeGivesWayToTheTimeThatAVmSaw) {
  EndpointRegistry endpoints;
  VersionedEntry leaving = MakeEntry("db-1", 3);
  leaving.entry.draining = true;
  endpoints.Put(leaving, {kStart, false});
  const TimePoint seen_at = kStart + std::chrono::seconds(2);
  CHECK(endpoints.RecordDrain(EndpointId{"db-1"}, 0, seen_at));
  CHECK(endpoints.Find(EndpointId{"db-1"})->draining_since == seen_at);
}

TEST(Directory, RemovesADrainingEntryAtOnce) {
  EndpointRegistry endpoints;
  VersionedEntry leaving = MakeEntry("db-1", 3);
  leaving.entry.draining = true;
  endpoints.Put(leaving, {kStart, true});
  endpoints.MarkRemoved(EndpointId{"db-1"}, 4, kStart);
  LONGS_EQUAL(1, endpoints.Sweep(kStart).size());
}

TEST(Directory, AnOlderEntryFromAPeerDoesNotRestoreARemovedOne) {
  EndpointRegistry endpoints;
  endpoints.Put(MakeEntry("db-1", 3), {kStart, true});
  endpoints.MarkRemoved(EndpointId{"db-1"}, 6, kStart);
  endpoints.Sweep(kStart + std::chrono::seconds(10));
  CHECK(!endpoints.Put(MakeEntry("db-1", 5), {kStart, true}));
  CHECK(endpoints.Find(EndpointId{"db-1"}) == nullptr);
  CHECK(endpoints.Put(MakeEntry("db-1", 7), {kStart, true}));
}

TEST(Directory, RemovesEntriesThatAListingLacks) {
  EndpointRegistry endpoints;
  endpoints.Put(MakeEntry("db-1", 3), {kStart, true});
  endpoints.Put(MakeEntry("db-2", 4), {kStart, true});
  const std::array listing = {MakeEntry("db-2", 4)};
  endpoints.ApplyListing(listing, 8, kStart);
  endpoints.Sweep(kStart + std::chrono::seconds(3));
  LONGS_EQUAL(1, endpoints.List().size());
  STRCMP_EQUAL("db-2", endpoints.List().front().id.value.c_str());
}

}  // namespace magnoliareel
