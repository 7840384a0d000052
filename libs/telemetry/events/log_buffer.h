#ifndef MAGNOLIAREEL_TELEMETRY_EVENTS_LOG_BUFFER_H_
#define MAGNOLIAREEL_TELEMETRY_EVENTS_LOG_BUFFER_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace magnoliareel {

/** A bounded buffer of log lines, written to a file descriptor without
    blocking. If the buffer is full, because the reader of the log is too slow,
    new lines are dropped and counted.
*/
class LogBuffer {
 public:
  /** @param capacity  maximum size of the pending lines, in bytes */
  explicit LogBuffer(size_t capacity) : capacity_(capacity) {}

  /** Adds a line, or drops it if the buffer is full; may be called from any
      thread.

      @param line  the line, without a line break
  */
  void Push(std::string_view line);
  /** Writes as much as the descriptor accepts; called from one thread only.

      @param fd  a descriptor in non-blocking mode
      @returns   number of dropped lines that have not been returned yet; 0
      while lines are pending, so that the report of a loss finds room
  */
  uint64_t Drain(int fd);
  /** @returns the number of lines dropped since the start */
  uint64_t GetDroppedCount() const;

 private:
  const size_t capacity_;
  mutable std::mutex mutex_;
  std::string pending_;
  // Lines taken from pending_, of which the first written_ bytes are written.
  std::string writing_;
  size_t written_ = 0;
  uint64_t dropped_ = 0;
  uint64_t reported_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TELEMETRY_EVENTS_LOG_BUFFER_H_
