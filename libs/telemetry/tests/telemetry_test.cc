#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "telemetry/telemetry.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

std::string GetEventLevelName(EventLevel level) {
  return level == EventLevel::kInfo      ? "info"
         : level == EventLevel::kWarning ? "warning"
                                         : "error";
}

}  // namespace

TEST_GROUP(Catalogue){};

TEST(Catalogue, MatchesTheDocumentation) {
  std::ifstream file(MAGNOLIAREEL_SOURCE_DIR "/docs/EVENTS.md");
  const std::string page((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  size_t rows = 0;
  for (size_t at = page.find("\n| E"); at != std::string::npos;
       at = page.find("\n| E", at + 1)) {
    ++rows;
  }
  LONGS_EQUAL(ListEvents().size(), rows);
  std::set<int> numbers;
  for (const EventDescription& it : ListEvents()) {
    const int number = static_cast<int>(it.event);
    CHECK(numbers.insert(number).second);
    const std::string row =
        "| E" + std::to_string(number) + " | " + GetEventLevelName(it.level) +
        " | " + std::string(it.name) + " | " + std::string(it.meaning) + " |\n";
    CHECK_TEXT(page.find(row) != std::string::npos, row.c_str());
  }
}

TEST_GROUP(Log){};

TEST(Log, DropsAndCountsLinesWithoutBlockingIfTheReaderStalls) {
  std::array<int, 2> ends{};
  LONGS_EQUAL(0, pipe(ends.data()));
  fcntl(ends[1], F_SETFL, O_NONBLOCK);
  LogBuffer buffer(4096);
  const std::string line(99, 'x');
  uint64_t reported = 0;
  for (int n = 0; n < 5000; ++n) {
    buffer.Push(line);
    reported += buffer.Drain(ends[1]);
  }
  // Without a reader the pipe and the buffer fill up; further lines are counted
  // as dropped.
  CHECK(buffer.GetDroppedCount() > 3000);
  LONGS_EQUAL(0, reported);
  std::array<char, 65536> buf{};
  size_t read_bytes = 0;
  for (ssize_t n = 1; n > 0;) {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    n = read(ends[0], buf.data(), buf.size());
    read_bytes += n > 0 ? static_cast<size_t>(n) : 0;
    reported += buffer.Drain(ends[1]);
  }
  LONGS_EQUAL(5000, reported + read_bytes / 100);
  close(ends[0]);
  close(ends[1]);
}

TEST_GROUP(Metrics){};

TEST(Metrics, BoundsTheNumberOfCallerLabels) {
  StatementMetrics metrics("test");
  for (int n = 0; n < 200; ++n) {
    metrics.Observe({"caller-" + std::to_string(n), "short", Outcome::kDone,
                     Duration(10), Duration(20), Duration(30)});
  }
  const std::string text = metrics.RenderText();
  CHECK(text.find(
            "test_wait_seconds_count{caller=\"caller-0\",class=\"short\"} 1") !=
        std::string::npos);
  CHECK(text.find("caller=\"caller-150\"") == std::string::npos);
  CHECK(text.find(
            "test_statements_total{caller=\"other\",class=\"short\",outcome="
            "\"done\"} 136") != std::string::npos);
}

}  // namespace magnoliareel
