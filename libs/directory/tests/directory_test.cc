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
  CHECK(endpoints.Put(MakeEntry("db-1", 3)));
  endpoints.MarkRemoved(EndpointId{"db-1"}, 4, kStart);
  LONGS_EQUAL(0, endpoints.Sweep(kStart).size());
  CHECK(endpoints.Find(EndpointId{"db-1"}) != nullptr);
  endpoints.ExtendGracePeriods(kStart + std::chrono::seconds(2));
  LONGS_EQUAL(0, endpoints.Sweep(kStart + std::chrono::seconds(3)).size());
  CHECK(endpoints.Put(MakeEntry("db-1", 9)));
  LONGS_EQUAL(0, endpoints.Sweep(kStart + std::chrono::seconds(60)).size());
}

TEST(Directory, RemovesAnEntryExactlyAtTheEndOfTheGracePeriod) {
  EndpointRegistry endpoints;
  endpoints.Put(MakeEntry("db-1", 3));
  endpoints.MarkRemoved(EndpointId{"db-1"}, 4, kStart);
  LONGS_EQUAL(
      1,
      endpoints.Sweep(kStart + EndpointRegistry::kRemovalGracePeriod).size());
}

TEST(Directory, RemovesADrainingEntryAtOnce) {
  EndpointRegistry endpoints;
  VersionedEntry leaving = MakeEntry("db-1", 3);
  leaving.entry.draining = true;
  endpoints.Put(leaving);
  endpoints.MarkRemoved(EndpointId{"db-1"}, 4, kStart);
  LONGS_EQUAL(1, endpoints.Sweep(kStart).size());
}

TEST(Directory, AnOlderEntryFromAPeerDoesNotRestoreARemovedOne) {
  EndpointRegistry endpoints;
  endpoints.Put(MakeEntry("db-1", 3));
  endpoints.MarkRemoved(EndpointId{"db-1"}, 6, kStart);
  endpoints.Sweep(kStart + std::chrono::seconds(10));
  CHECK(!endpoints.Put(MakeEntry("db-1", 5)));
  CHECK(endpoints.Find(EndpointId{"db-1"}) == nullptr);
  CHECK(endpoints.Put(MakeEntry("db-1", 7)));
}

TEST(Directory, RemovesEntriesThatAListingLacks) {
  EndpointRegistry endpoints;
  endpoints.Put(MakeEntry("db-1", 3));
  endpoints.Put(MakeEntry("db-2", 4));
  const std::array listing = {MakeEntry("db-2", 4)};
  endpoints.ApplyListing(listing, 8, kStart);
  endpoints.Sweep(kStart + std::chrono::seconds(3));
  LONGS_EQUAL(1, endpoints.List().size());
  STRCMP_EQUAL("db-2", endpoints.List().front().id.value.c_str());
}

}  // namespace magnoliareel
