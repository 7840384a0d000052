#ifndef MAGNOLIAREEL_BUDGET_SHARES_HELD_BYTES_H_
#define MAGNOLIAREEL_BUDGET_SHARES_HELD_BYTES_H_

#include <cstddef>
#include <cstdint>

namespace magnoliareel {

/** Bytes that sessions hold together, against one limit. Charges up to
    `small_bytes` are always accepted, so that large sessions cannot take the
    room of small ones. */
class HeldBytes {
 public:
  /** @param limit        sum of all charges
      @param small_bytes  a charge up to this is always accepted
  */
  explicit HeldBytes(size_t limit = SIZE_MAX, size_t small_bytes = 0)
      : limit_(limit), small_bytes_(small_bytes) {}

  /** Replaces a charge.

      @param freed   what was charged for the holder
      @param needed  what it is to be charged
      @returns       false if there is no room; then nothing changes
  */
  bool Replace(size_t freed, size_t needed) {
    const size_t total = total_ - freed + needed;
    if (needed > freed && needed > small_bytes_ && total > limit_) {
      ++refused_;
      return false;
    }
    total_ = total;
    return true;
  }
  /** Ends a charge. */
  void Release(size_t bytes) { total_ -= bytes; }

  /** @returns the sum of all charges */
  size_t GetTotal() const { return total_; }
  /** @returns how often there was no room */
  uint64_t CountRefused() const { return refused_; }

 private:
  size_t limit_;
  size_t small_bytes_;
  size_t total_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_BUDGET_SHARES_HELD_BYTES_H_
