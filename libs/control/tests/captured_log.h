#ifndef MAGNOLIAREEL_CONTROL_TESTS_CAPTURED_LOG_H_
#define MAGNOLIAREEL_CONTROL_TESTS_CAPTURED_LOG_H_

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include "telemetry/telemetry.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

/** Collects the log lines that a test causes. */
class CapturedLog {
 public:
  CapturedLog() {
    StartBufferedLog(GetBuffer(), "test");
    CHECK(pipe2(ends_.data(), O_NONBLOCK) == 0);
    Clear();  // Those of earlier tests.
  }
  ~CapturedLog() {
    close(ends_[0]);
    close(ends_[1]);
  }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  /** Forgets the lines so far. */
  void Clear() {
    ReadLines();
    lines_.clear();
  }

  /** @param event  name of an event
      @returns      its lines, each with a blank at its end
  */
  std::vector<std::string> ListLines(std::string_view event) {
    ReadLines();
    std::vector<std::string> list;
    const std::string word = " " + std::string(event) + " ";
    std::copy_if(lines_.begin(), lines_.end(), std::back_inserter(list),
                 [&word](const std::string& line) {
                   return line.find(word) != std::string::npos;
                 });
    return list;
  }

 private:
  void ReadLines() {
    std::string text;
    std::array<char, 4096> buf;
    bool found = true;
    while (found) {
      GetBuffer().Drain(ends_[1]);
      const ssize_t n = read(ends_[0], buf.data(), buf.size());
      found = n > 0;
      text.append(buf.data(), found ? static_cast<size_t>(n) : 0);
    }
    size_t begin = 0;
    for (size_t end = text.find('\n'); end != std::string::npos;
         end = text.find('\n', begin)) {
      lines_.push_back(text.substr(begin, end - begin) + " ");
      begin = end + 1;
    }
  }

  // Outlives the test, because the log goes on using it.
  static LogBuffer& GetBuffer() {
    static LogBuffer buffer(1 << 20);
    return buffer;
  }

  std::array<int, 2> ends_{};
  std::vector<std::string> lines_;
};

/** Checks that a log line has fields.

    @param line    the line, with a blank at its end
    @param fields  fields with their values, separated by blanks
*/
inline void CheckFields(std::string_view line, std::string_view fields) {
  while (!fields.empty()) {
    const size_t end = std::min(fields.find(' '), fields.size());
    const std::string field = " " + std::string(fields.substr(0, end)) + " ";
    CHECK_TEXT(line.find(field) != std::string_view::npos,
               (field + "in: " + std::string(line)).c_str());
    fields.remove_prefix(std::min(end + 1, fields.size()));
  }
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_TESTS_CAPTURED_LOG_H_
