#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <string_view>
#include <utility>

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

TEST_GROUP(LogFields){// Logs an event with one field and returns its line from
                      // the first field on.
                      static std::string LogValue(std::string value){
                          static LogBuffer buffer(1 << 20);
StartBufferedLog(buffer, "vm-1");
std::array<int, 2> ends{};
LONGS_EQUAL(0, pipe(ends.data()));
LogEvent(Event::kCallerRejected, {{"reason", std::move(value)}});
buffer.Drain(ends[1]);
close(ends[1]);
std::string line;
std::array<char, 4096> buf{};
for (ssize_t n = 1; n > 0;) {
  n = read(ends[0], buf.data(), buf.size());
  line.append(buf.data(), n > 0 ? static_cast<size_t>(n) : 0);
}
close(ends[0]);
return line.substr(line.find(" reason=") + 1);
}  // namespace magnoliareel
}
;

TEST(LogFields, WritesPlainWordsUnchanged) {
  STRCMP_EQUAL("reason=i-d1a4df5752/3/3/3\n",
               LogValue("i-d1a4df5752/3/3/3").c_str());
  STRCMP_EQUAL("reason=127.0.0.1:9000,('x')\n",
               LogValue("127.0.0.1:9000,('x')").c_str());
  STRCMP_EQUAL("reason=\"the peer closed the connection\"\n",
               LogValue("the peer closed the connection").c_str());
  STRCMP_EQUAL("reason=\"\"\n", LogValue("").c_str());
}

TEST(LogFields, CannotHoldAnotherField) {
  STRCMP_EQUAL("reason=\"x request\\x3dabc\"\n",
               LogValue("x request=abc").c_str());
  STRCMP_EQUAL("reason=\"request\\x3dabc\"\n", LogValue("request=abc").c_str());
  STRCMP_EQUAL("reason=\"x\\\" request\\x3dabc y\\x3d\\\"\"\n",
               LogValue("x\" request=abc y=\"").c_str());
  STRCMP_EQUAL("reason=\"\\\\x3d\\\\\"\n", LogValue("\\x3d\\").c_str());
}

TEST(LogFields, CannotHoldAnotherLineOrTerminalCommands) {
  STRCMP_EQUAL("reason=\"a\\n1 vm-2 error E5208\"\n",
               LogValue("a\n1 vm-2 error E5208").c_str());
  STRCMP_EQUAL(
      "reason=\"a\\x0d\\x1b[2K\\x7f\\xe2\\x80\\xa8\\x00\"\n",
      LogValue(std::string("a\r\x1b[2K\x7f\xe2\x80\xa8\0", 11)).c_str());
}

// Reads a value as docs/EVENTS.md describes it.
static std::string ReadValue(std::string_view text) {
  if (!text.starts_with('"')) {
    return std::string(text);
  }
  std::string value;
  for (size_t n = 1; n + 1 < text.size(); ++n) {
    if (text[n] != '\\') {
      value += text[n];
    } else if (text[++n] == 'x') {
      value += static_cast<char>(
          std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16));
      n += 2;
    } else {
      value += text[n] == 'n' ? '\n' : text[n];
    }
  }
  return value;
}

TEST(LogFields, KeepsEveryByte) {
  for (int n = 0; n < 256; ++n) {
    for (const std::string& value :
         {std::string(1, static_cast<char>(n)),
          "\"" + std::string(2, static_cast<char>(n)) + "\\"}) {
      const std::string line = LogValue(value);
      const std::string_view field =
          std::string_view(line).substr(0, line.size() - 1);
      CHECK(field.starts_with("reason="));
      const std::string_view text = field.substr(7);
      CHECK(text.find('=') == std::string::npos);
      for (const char c : text) {
        CHECK(c >= ' ' && c <= '~');
      }
      CHECK(value == ReadValue(text));
    }
  }
}

TEST(LogFields, CutsALongValueAndSaysItsLength) {
  const std::string line = LogValue(std::string(1 << 20, 'x'));
  STRCMP_EQUAL(("reason=\"" + std::string(1024, 'x') + "\"/1048576\n").c_str(),
               line.c_str());
  STRCMP_EQUAL(("reason=" + std::string(1024, 'x') + "\n").c_str(),
               LogValue(std::string(1024, 'x')).c_str());
  // The escaped form may be longer, by a fixed factor.
  CHECK(LogValue(std::string(1 << 20, '\0')).size() < 5000);
}

TEST_GROUP(Metrics){};

TEST(Metrics, EscapesTextInLabels) {
  GaugeSnapshot gauges("test");
  gauges.Add("limit", "Help.", {{"endpoint", "a\"} 1\ntest_limit{x=\"\\"}}, 2);
  CHECK(gauges.RenderText().find(
            "test_limit{endpoint=\"a\\\"} 1\\ntest_limit{x=\\\"\\\\\"} 2") !=
        std::string::npos);
}

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
