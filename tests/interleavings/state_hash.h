#ifndef MAGNOLIAREEL_TESTS_INTERLEAVINGS_STATE_HASH_H_
#define MAGNOLIAREEL_TESTS_INTERLEAVINGS_STATE_HASH_H_

#include <cstdint>
#include <string_view>

namespace magnoliareel {

/** Computes a hash of a sequence of values. */
class StateHash {
 public:
  /** Adds a number. */
  StateHash& Add(uint64_t value) {
    value_ = (value_ ^ value) * 0x9E3779B97F4A7C15ULL;
    value_ ^= value_ >> 29;
    value_ *= 0xBF58476D1CE4E5B9ULL;
    value_ ^= value_ >> 32;
    return *this;
  }
  /** Adds a text. */
  StateHash& Add(std::string_view text) {
    Add(text.size());
    for (const char it : text) {
      Add(static_cast<uint64_t>(static_cast<unsigned char>(it)));
    }
    return *this;
  }
  /** @returns the hash of what was added */
  uint64_t Get() const { return value_; }

 private:
  uint64_t value_ = 0x243F6A8885A308D3ULL;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_INTERLEAVINGS_STATE_HASH_H_
