#ifndef MAGNOLIAREEL_CORE_CONCURRENCY_SNAPSHOT_H_
#define MAGNOLIAREEL_CORE_CONCURRENCY_SNAPSHOT_H_

#include <memory>
#include <mutex>
#include <utility>

namespace magnoliareel {

/** Holds the latest immutable state that the control thread has published, for
    readers on any thread.

    @tparam T  type of the state
    @see ControlLoop
*/
template <class T>
class Snapshot {
 public:
  /** @param initial  state until the first call of Publish() */
  explicit Snapshot(T initial)
      : state_(std::make_shared<const T>(std::move(initial))) {}

  /** Replaces the state. Called on the control thread.

      @param next  the new state
  */
  void Publish(T next) {
    auto state = std::make_shared<const T>(std::move(next));
    const std::lock_guard lock(mutex_);
    state_.swap(state);
  }

  /** @returns the current state, which stays valid as long as the pointer */
  std::shared_ptr<const T> Get() const {
    const std::lock_guard lock(mutex_);
    return state_;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> state_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_CONCURRENCY_SNAPSHOT_H_
