#ifndef MAGNOLIAREEL_TELEMETRY_EVENTS_LOG_BUFFER_H_
#define MAGNOLIAREEL_TELEMETRY_EVENTS_LOG_BUFFER_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace magnoliareel {

/** Holds log lines until a descriptor takes them, within a bound; a line that
    finds no room is dropped and counted. No call blocks.
*/
class LogBuffer {
 public:
  /** @param capacity  most bytes that wait */
  explicit LogBuffer(size_t capacity) : capacity_(capacity) {}

  /** Adds a line; called from any thread.

      @param line  without its end of line
  */
  void Push(std::string_view line);
  /** Writes as much as the descriptor takes now; called from one thread.

      @param fd  a descriptor in non-blocking mode
      @returns   number of lines that were dropped since the last call, if
                 there is room again to say so
  */
  uint64_t Drain(int fd);
  /** @returns number of lines dropped so far */
  uint64_t GetDroppedCount() const;

 private:
  const size_t capacity_;
  mutable std::mutex mutex_;
  std::string waiting_;
  // Taken out of waiting_, partly written.
  std::string writing_;
  size_t written_ = 0;
  uint64_t dropped_ = 0;
  uint64_t reported_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TELEMETRY_EVENTS_LOG_BUFFER_H_
