#ifndef MAGNOLIAREEL_NET_LOOP_MAILBOX_H_
#define MAGNOLIAREEL_NET_LOOP_MAILBOX_H_

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "net/loop/event_loop.h"

namespace magnoliareel {

/** Hands values to the thread of an event loop, many with one wake-up.

    @tparam T  the values' type
    @see EventLoop
*/
template <class T>
class Mailbox {
 public:
  /** @param loop     the receiving loop; outlives the mailbox
      @param receive  called on the loop's thread with each value, in order
  */
  Mailbox(EventLoop& loop, std::function<void(T)> receive) : state_(new State) {
    state_->receive = std::move(receive);
    state_->handle.data = state_;
    uv_async_init(loop.GetHandle(), &state_->handle, [](uv_async_t* handle) {
      static_cast<State*>(handle->data)->Deliver();
    });
  }
  ~Mailbox() {
    uv_close(
        reinterpret_cast<uv_handle_t*>(&state_->handle),
        [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
  }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /** Called from any thread.

      @param value  delivered to the receiving thread
  */
  void Post(T value) {
    {
      const std::lock_guard lock(state_->mutex);
      state_->values.push_back(std::move(value));
    }
    uv_async_send(&state_->handle);
  }

 private:
  struct State {
    uv_async_t handle{};
    std::mutex mutex;
    std::vector<T> values;
    std::function<void(T)> receive;

    void Deliver() {
      std::vector<T> batch;
      {
        const std::lock_guard lock(mutex);
        batch.swap(values);
      }
      for (T& it : batch) {
        receive(std::move(it));
      }
    }
  };

  State* state_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_NET_LOOP_MAILBOX_H_
