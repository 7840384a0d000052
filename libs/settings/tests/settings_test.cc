#include <array>
#include <cstdlib>
#include <string>
#include <vector>

#include "settings/settings.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

TEST_GROUP(Flags) {
  std::string name;
  int64_t count = 3;
  SocketAddress listen;
  Findings findings;

  FlagResult Parse(std::vector<std::string> arguments) {
    FlagTable table("program", "A program.");
    table.AddText("name", "a name", true, name);
    table.AddNumber("count", "a count", 1, 10, count);
    table.AddAddress("listen", "an address", false, listen);
    arguments.insert(arguments.begin(), "program");
    std::vector<char*> args;
    for (std::string& it : arguments) {
      args.push_back(it.data());
    }
    return table.Parse(args, findings);
  }

  void teardown() override {
    unsetenv("MAGNOLIAREEL_COUNT");
  }
};

TEST(Flags, ReadsValuesAndKeepsDefaults) {
  CHECK(Parse({"--name=x", "--listen", "127.0.0.1:80"}) == FlagResult::kRun);
  STRCMP_EQUAL("x", name.c_str());
  LONGS_EQUAL(3, count);
  STRCMP_EQUAL("127.0.0.1:80", listen.Format().c_str());
}

TEST(Flags, FlagsTakePrecedenceOverTheEnvironment) {
  setenv("MAGNOLIAREEL_COUNT", "5", 1);
  CHECK(Parse({"--name=x"}) == FlagResult::kRun);
  LONGS_EQUAL(5, count);
  CHECK(Parse({"--name=x", "--count=7"}) == FlagResult::kRun);
  LONGS_EQUAL(7, count);
}

TEST(Flags, ReportsAllErrorsTogether) {
  setenv("MAGNOLIAREEL_COUNT", "many", 1);
  CHECK(Parse({"--listen=nowhere", "--colour=red"}) == FlagResult::kInvalid);
  STRCMP_EQUAL(
      "--colour=red: unknown_flag: unknown option\n"
      "--name: missing_field: must be given, or MAGNOLIAREEL_NAME be set\n"
      "--count: bad_setting: 'many' is not a whole number\n"
      "--listen: bad_setting: 'nowhere' is not an IPv4 address and port\n",
      findings.FormatLines().c_str());
}

TEST(Flags, ChecksRanges) {
  CHECK(Parse({"--name=x", "--count=11"}) == FlagResult::kInvalid);
  STRCMP_EQUAL("--count: bad_setting: 11 is not between 1 and 10\n",
               findings.FormatLines().c_str());
}

}  // namespace magnoliareel
