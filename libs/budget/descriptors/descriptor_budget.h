#ifndef MAGNOLIAREEL_BUDGET_DESCRIPTORS_DESCRIPTOR_BUDGET_H_
#define MAGNOLIAREEL_BUDGET_DESCRIPTORS_DESCRIPTOR_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace magnoliareel {

/** Least and largest number of descriptors that are kept for endpoints, the
    store, peers and the process's own files. The largest one covers 24
    endpoints with 16 connections and 8 forwarded sessions each, with room. */
inline constexpr size_t kMinReservedDescriptors = 48;
inline constexpr size_t kMaxReservedDescriptors = 1024;

/** @param limit  descriptors that the process may use; 0 for no limit
    @returns      connections of callers and peers that may be open */
constexpr size_t GetMaxAccepted(size_t limit) {
  if (limit == 0) {
    return SIZE_MAX;
  }
  const size_t reserve =
      std::clamp(limit / 4, kMinReservedDescriptors, kMaxReservedDescriptors);
  return limit > reserve ? limit - reserve : 1;
}

/** Decides which accepted connection is closed when there are too many: the
    oldest of those that have sent no message yet, else the new one. */
class DescriptorBudget {
 public:
  /** @param max_accepted  connections that may be open */
  explicit DescriptorBudget(size_t max_accepted)
      : max_accepted_(max_accepted) {}

  /** Records a new connection, before it counts as open.

      @tparam F       callable as `bool(uint64_t)`
      @param id       the connection
      @param open     number of open ones without it
      @param is_mute  returns whether a connection is open and has sent no
                      message
      @returns        connection to be closed: 0 for none, `id` for the new one
  */
  template <class F>
  uint64_t Admit(uint64_t id, size_t open, F&& is_mute) {
    while (!mute_.empty() && !is_mute(mute_.front())) {
      mute_.pop_front();
    }
    if (open < max_accepted_) {
      mute_.push_back(id);
      return 0;
    }
    if (mute_.empty()) {
      return id;
    }
    const uint64_t oldest = mute_.front();
    mute_.pop_front();
    mute_.push_back(id);
    return oldest;
  }

 private:
  const size_t max_accepted_;
  /** Connections that had sent no message when they were accepted, oldest
      first. Those that have sent one or ended leave when they are first. */
  std::deque<uint64_t> mute_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_BUDGET_DESCRIPTORS_DESCRIPTOR_BUDGET_H_
