#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_CALLER_TEXTS_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_CALLER_TEXTS_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace magnoliareel {

/** Chooses the texts of a caller: names, shapes, values and data with blanks,
    words of the protocol, quotes and other bytes, empty ones and long ones.

    They come from a random stream of their own, so that the kinds of operations
    and their timing, which have another one, are the same with other texts.
*/
class CallerTexts {
 public:
  explicit CallerTexts(uint64_t seed);

  /** @returns the random stream of the texts */
  std::mt19937_64& GetStream() { return random_; }
  /** @returns a number below n */
  size_t Choose(size_t n) { return random_() % n; }
  /** @returns true in a part of the calls, in percent */
  bool IsChosen(size_t percent) { return Choose(100) < percent; }

  /** @param usual  returned in most calls
      @returns      the name of a prepared statement or a session value, without
                    blanks; callers often choose the same
  */
  std::string MakeName(std::string usual);
  /** @param usual  returned in some calls
      @returns      a shape; many are prefixes of each other
  */
  std::string MakeShape(std::string usual);
  /** @param usual  returned in most calls
      @returns      the value of a session value, or an item or data; may be
                    empty
  */
  std::string MakeText(std::string usual);
  /** @param line_bytes  length of a line
      @returns           in a few calls, what lengthens the line to about the
                         longest one that is allowed; otherwise nothing
  */
  std::string MakeRarePadding(size_t line_bytes);

 private:
  std::string JoinWords();

  std::mt19937_64 random_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_CALLER_TEXTS_H_
