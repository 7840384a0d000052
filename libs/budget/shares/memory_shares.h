#ifndef MAGNOLIAREEL_BUDGET_SHARES_MEMORY_SHARES_H_
#define MAGNOLIAREEL_BUDGET_SHARES_MEMORY_SHARES_H_

#include <cstddef>
#include <cstdint>

namespace magnoliareel {

/** Bytes for each use of the process's memory. What is not shared out remains
    for the process itself, for short lines, and for the copies of statements
    that are being sent to endpoints. */
struct MemoryShares {
  /** Values and prepared statements of all sessions. */
  size_t held_text = SIZE_MAX;
  /** Texts of statements in progress that are longer than a short line. */
  size_t statement_text = SIZE_MAX;
  /** Answers that callers have not read. */
  size_t unsent = SIZE_MAX;
  /** Unfinished lines and waiting messages of middle length. */
  size_t medium_lines = SIZE_MAX;
  /** Lines up to the longest. */
  size_t long_lines = SIZE_MAX;
};

/** Divides the memory of a process.

    @param limit_bytes  memory that the process may use
    @returns            the shares
*/
constexpr MemoryShares DivideMemory(uint64_t limit_bytes) {
  const auto percent = [limit_bytes](uint64_t n) {
    return static_cast<size_t>(limit_bytes * n / 100);
  };
  // The values of a session are copied to each connection that it uses, and a
  // statement to the buffer of its connection, so a quarter stays undivided.
  return {.held_text = percent(18),
          .statement_text = percent(20),
          .unsent = percent(15),
          .medium_lines = percent(8),
          .long_lines = percent(15)};
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_BUDGET_SHARES_MEMORY_SHARES_H_
