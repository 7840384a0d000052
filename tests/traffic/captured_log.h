#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_CAPTURED_LOG_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_CAPTURED_LOG_H_

#include <cstdio>
#include <string>
#include <string_view>

#include "telemetry/telemetry.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

/** Collects the lines of the log until it is destroyed. */
class CapturedLog {
 public:
  CapturedLog() : buffer_(kCapacity), file_(std::tmpfile()) {
    CHECK(file_ != nullptr);
    StartBufferedLog(buffer_, "simulated");
  }
  ~CapturedLog() {
    // The log outlives this object.
    static LogBuffer discarded(0);
    StartBufferedLog(discarded, "simulated");
    std::fclose(file_);
  }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  /** @returns the last line that contains a text; empty if none does */
  std::string FindLast(std::string_view text) {
    buffer_.Drain(fileno(file_));
    std::rewind(file_);
    std::string lines;
    for (int next = std::fgetc(file_); next != EOF; next = std::fgetc(file_)) {
      lines += static_cast<char>(next);
    }
    const size_t found = lines.rfind(text);
    if (found == std::string::npos) {
      return {};
    }
    const size_t begin = lines.rfind('\n', found) + 1;
    return lines.substr(begin, lines.find('\n', found) - begin);
  }

 private:
  static constexpr size_t kCapacity = 1 << 20;

  LogBuffer buffer_;
  std::FILE* const file_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_CAPTURED_LOG_H_
