#ifndef MAGNOLIAREEL_CORE_CONCURRENCY_EXECUTOR_H_
#define MAGNOLIAREEL_CORE_CONCURRENCY_EXECUTOR_H_

#include <concepts>
#include <functional>

#include "core/time/clock.h"

namespace magnoliareel {

/** A unit of work for the control thread. */
using Task = std::function<void()>;

/** Runs the tasks of a control thread one at a time.

    @see ControlLoop, ManualExecutor
*/
template <class T>
concept Executor = Clock<T> &&
    requires(T& executor, Task task, Duration delay) {
  executor.Post(std::move(task));
  { executor.TryPost(std::move(task)) } -> std::same_as<bool>;
  executor.After(delay, std::move(task));
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_CONCURRENCY_EXECUTOR_H_
