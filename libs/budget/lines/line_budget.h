#ifndef MAGNOLIAREEL_BUDGET_LINES_LINE_BUDGET_H_
#define MAGNOLIAREEL_BUDGET_LINES_LINE_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** Longest short line, in bytes. Short lines need no place, so connections that
    send only these are never made to wait. Nearly all statements are shorter.
 */
inline constexpr size_t kShortLineBytes = 4 * 1024;
/** Longest line of middle length: what is read at a time. */
inline constexpr size_t kMediumLineBytes = 64 * 1024;
/** Memory that a place for a line of any length stands for: the line, and what
    was read behind it. */
inline constexpr size_t kLongLineBytes = 1024 * 1024 + 2 * kMediumLineBytes;
/** A connection that holds a place while others wait must send kMinLineProgress
    within this time. 32 KiB/s is below any link between VMs. */
inline constexpr Duration kLineProgressPeriod = std::chrono::seconds(2);
inline constexpr size_t kMinLineProgress = 64 * 1024;

/** Length of what a connection has to buffer. */
enum class LineClass { kShort, kMedium, kLong };

/** @param bytes  buffered bytes of an unfinished line
    @returns      the place that the rest of the line needs */
constexpr LineClass ClassifyLine(size_t bytes) {
  return bytes <= kShortLineBytes    ? LineClass::kShort
         : bytes <= kMediumLineBytes ? LineClass::kMedium
                                     : LineClass::kLong;
}

/** What a connection that asks for a place has to do. */
enum class LineDecision {
  /** It may go on to read. */
  kRead,
  /** It stops to read until TakeGranted() names it. */
  kWait,
  /** It is closed: too many wait. */
  kClose,
};

/** Places for lines that are longer than a short line. Connections without a
    place wait in the order in which they asked.

    A connection that waits for a long line keeps its medium place. Both kinds
    have places of their own, so that long lines finish while all medium places
    are taken.
*/
class LineBudget {
 public:
  /** @param medium_bytes  memory for medium lines
      @param long_bytes    memory for long lines
  */
  LineBudget(size_t medium_bytes, size_t long_bytes);

  /** Asks for a place, or states that the line needs no more than before.

      @param id      the connection
      @param wanted  place that it needs; not kShort
      @param now     current time
  */
  LineDecision Request(uint64_t id, LineClass wanted, TimePoint now);
  /** Counts received bytes as progress of a connection that has a place. */
  void RecordReceived(uint64_t id, size_t bytes);
  /** Sets whether the line was complete and its statement is in progress. Such
      a connection waits for us, so it cannot stall. */
  void SetInUse(uint64_t id, bool is_in_use, TimePoint now);
  /** Gives up what a connection has or waits for. */
  void Release(uint64_t id);
  /** @returns connections that have got the place for which they waited */
  std::vector<uint64_t> TakeGranted(TimePoint now);
  /** @returns connections that hold places for which others wait and have not
               progressed within kLineProgressPeriod */
  std::vector<uint64_t> FindStalled(TimePoint now);

  /** @returns number of connections that wait */
  size_t CountWaiting() const {
    return waiting_medium_.size() + waiting_long_.size();
  }
  /** @returns number of places in use */
  size_t CountTaken() const { return taken_medium_ + taken_long_; }

 private:
  struct Holder {
    LineClass has = LineClass::kShort;
    LineClass waits_for = LineClass::kShort;
    bool is_in_use = false;
    size_t received = 0;
    TimePoint checked_at;
  };

  bool Take(Holder& holder, LineClass wanted, TimePoint now);
  void GiveUp(Holder& holder);

  const size_t max_medium_;
  const size_t max_long_;
  size_t taken_medium_ = 0;
  size_t taken_long_ = 0;
  std::unordered_map<uint64_t, Holder> holders_;
  std::deque<uint64_t> waiting_medium_;
  std::deque<uint64_t> waiting_long_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_BUDGET_LINES_LINE_BUDGET_H_
