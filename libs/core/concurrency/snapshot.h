#ifndef MAGNOLIAREEL_CORE_CONCURRENCY_SNAPSHOT_H_
#define MAGNOLIAREEL_CORE_CONCURRENCY_SNAPSHOT_H_

#include <memory>
#include <mutex>
#include <utility>

namespace magnoliareel {

/** Holds the latest immutable state that the control thread has published.

    @tparam T  the state; never changed once published
    @see ControlLoop
*/
template <class T>
class Snapshot {
 public:
  /** @param first  the state before anything is published */
  explicit Snapshot(T first)
      : state_(std::make_shared<const T>(std::move(first))) {}

  /** Replaces the state; called on the control thread.

      @param next  the new state
  */
  void Publish(T next) {
    auto fresh = std::make_shared<const T>(std::move(next));
    const std::lock_guard lock(mutex_);
    state_.swap(fresh);
  }

  /** @returns the state at this moment; stays valid while it is held */
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
