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
  CHECK(endpoints.Put(MakeEntry("db-1", 3), kStart));
  endpoints.MarkRemoved(EndpointId{"db-1"}, 4, kStart);
  LONGS_EQUAL(0, endpoints.Sweep(kStart).size());
  CHECK(endpoints.Find(EndpointId{"db-1"}) != nullptr);
  endpoints.ExtendGracePeriods(kStart + std::chrono::seconds(2));
  LONGS_EQUAL(0, endpoints.Sweep(kStart + std::chrono::seconds(3)).size());
  CHECK(endpoints.Put(MakeEntry("db-1", 9), kStart));
  LONGS_EQUAL(0, endpoints.Sweep(kStart + std::chrono::seconds(60)).size());
}

TEST(Directory, RemovesAnEntryExactlyAtTheEndOfTheGracePeriod) {
  EndpointRegistry endpoints;
  endpoints.Put(MakeEntry("db-1", 3), kStart);
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
  endpoints.Put(leaving, kStart);
  CHECK(endpoints.Find(id)->draining_since == kStart);
  leaving.row_version = 4;
  CHECK(!endpoints.Put(leaving, kStart + std::chrono::seconds(1)));
  endpoints.MarkRemoved(id, 5, kStart + std::chrono::seconds(2));
  endpoints.Sweep(kStart + std::chrono::seconds(2));
  leaving.row_version = 6;
  CHECK(endpoints.Put(leaving, kStart + std::chrono::seconds(3)));
  CHECK(endpoints.Find(id)->draining_since == kStart);
  // An endpoint that has started anew is not leaving any more.
  VersionedEntry restarted = MakeEntry("db-1", 7);
  restarted.entry.started_at_ms = 1;
  endpoints.Put(restarted, kStart + std::chrono::seconds(4));
  CHECK(!endpoints.Find(id)->draining_since);
  restarted.row_version = 8;
  restarted.entry.draining = true;
  endpoints.Put(restarted, kStart + std::chrono::seconds(5));
  CHECK(endpoints.Find(id)->draining_since == kStart + std::chrono::seconds(5));
}

TEST(Directory, RemovesADrainingEntryAtOnce) {
  EndpointRegistry endpoints;
  VersionedEntry leaving = MakeEntry("db-1", 3);
  leaving.entry.draining = true;
  endpoints.Put(leaving, kStart);
  endpoints.MarkRemoved(EndpointId{"db-1"}, 4, kStart);
  LONGS_EQUAL(1, endpoints.Sweep(kStart).size());
}

TEST(Directory, AnOlderEntryFromAPeerDoesNotRestoreARemovedOne) {
  EndpointRegistry endpoints;
  endpoints.Put(MakeEntry("db-1", 3), kStart);
  endpoints.MarkRemoved(EndpointId{"db-1"}, 6, kStart);
  endpoints.Sweep(kStart + std::chrono::seconds(10));
  CHECK(!endpoints.Put(MakeEntry("db-1", 5), kStart));
  CHECK(endpoints.Find(EndpointId{"db-1"}) == nullptr);
  CHECK(endpoints.Put(MakeEntry("db-1", 7), kStart));
}

TEST(Directory, RemovesEntriesThatAListingLacks) {
  EndpointRegistry endpoints;
  endpoints.Put(MakeEntry("db-1", 3), kStart);
  endpoints.Put(MakeEntry("db-2", 4), kStart);
  const std::array listing = {MakeEntry("db-2", 4)};
  endpoints.ApplyListing(listing, 8, kStart);
  endpoints.Sweep(kStart + std::chrono::seconds(3));
  LONGS_EQUAL(1, endpoints.List().size());
  STRCMP_EQUAL("db-2", endpoints.List().front().id.value.c_str());
}

}  // namespace magnoliareel
