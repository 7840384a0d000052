#ifndef MAGNOLIAREEL_NET_LOOP_MAILBOX_H_
#define MAGNOLIAREEL_NET_LOOP_MAILBOX_H_

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "net/loop/event_loop.h"

namespace magnoliareel {

/** A queue that passes values from any thread to the thread of an event loop.
    Values that arrive together cause a single wake-up.

    @tparam T  type of the values
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

  /** Queues a value; may be called from any thread.

      @param value  delivered on the receiving thread
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
