#include "relay/connections/prepared_names.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

std::shared_ptr<const PreparedStatement> MakeStatement(bool writes,
                                                       std::string shape) {
  return std::make_shared<const PreparedStatement>(
      PreparedStatement{writes, std::move(shape)});
}

uint32_t UseName(PreparedNames& names, const std::string& shape) {
  return names.Use(MakeStatement(false, shape)).name.number;
}

}  // namespace

TEST_GROUP(PreparedNames){};

TEST(PreparedNames, EachKindAndShapeHasItsOwnName) {
  PreparedNames names;
  const PreparedNames::Usage read = names.Use(MakeStatement(false, "q12"));
  const PreparedNames::Usage write = names.Use(MakeStatement(true, "q12"));
  const PreparedNames::Usage longer =
      names.Use(MakeStatement(false, "q12 READ fp"));
  CHECK(read.is_new && write.is_new && longer.is_new);
  CHECK(read.name != write.name && read.name != longer.name &&
        write.name != longer.name);
  const PreparedNames::Usage again = names.Use(MakeStatement(false, "q12"));
  CHECK(!again.is_new && again.name == read.name);
}

TEST(PreparedNames, NumbersAreNotUsedAgain) {
  // Guards against an execution that was sent behind a reset, or behind a
  // refusal, and runs another shape under the same name.
  PreparedNames names;
  const uint32_t first = UseName(names, "a");
  names.Clear();
  const uint32_t second = UseName(names, "a");
  names.Forget({second});
  names.Forget({first});
  LONGS_EQUAL(0, names.Count());
  const uint32_t third = UseName(names, "a");
  CHECK(first < second && second < third);
  CHECK(!names.IsExhausted());
}

TEST(PreparedNames, TheLeastRecentlyUsedNameIsGivenUp) {
  PreparedNames names;
  const uint32_t kept = UseName(names, "0");
  const uint32_t oldest = UseName(names, "1");
  for (size_t n = 2; n < PreparedNames::kMaxCount; ++n) {
    UseName(names, std::to_string(n));
  }
  LONGS_EQUAL(kept, UseName(names, "0"));
  const PreparedNames::Usage usage = names.Use(MakeStatement(false, "new"));
  LONGS_EQUAL(1, usage.evicted.size());
  LONGS_EQUAL(oldest, usage.evicted.front().number);
  LONGS_EQUAL(PreparedNames::kMaxCount, names.Count());
  LONGS_EQUAL(kept, UseName(names, "0"));
  CHECK(UseName(names, "1") > usage.name.number);
}

TEST(PreparedNames, TheTextOfAllShapesIsLimited) {
  PreparedNames names;
  for (char it = 'a'; it <= 'd'; ++it) {
    UseName(names, std::string(PreparedNames::kMaxShapeBytes / 4, it));
  }
  LONGS_EQUAL(4, names.Count());
  LONGS_EQUAL(1, names.Use(MakeStatement(true, "x")).evicted.size());
  // One longer shape is alone, and stays while it is used.
  const std::string longest(2 * PreparedNames::kMaxShapeBytes, 'y');
  const PreparedNames::Usage usage = names.Use(MakeStatement(true, longest));
  CHECK(usage.is_new);
  LONGS_EQUAL(4, usage.evicted.size());
  LONGS_EQUAL(1, names.Count());
  CHECK(!names.Use(MakeStatement(true, longest)).is_new);
  LONGS_EQUAL(1, names.Use(MakeStatement(false, "x")).evicted.size());
  LONGS_EQUAL(1, names.Count());
}

}  // namespace magnoliareel
