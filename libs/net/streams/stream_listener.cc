#include "net/streams/stream_listener.h"

#include <utility>

#include "net/streams/stream_state.h"

namespace magnoliareel {
namespace {

// Large enough for all callers of a site to reconnect simultaneously after the
// loss of another VM.
constexpr int kListenBacklog = 1024;

}  // namespace

StreamListener::StreamListener(EventLoop& loop,
                               std::function<void(Stream)> accept)
    : loop_(loop), accept_(std::move(accept)) {}

std::error_code StreamListener::Listen(const SocketAddress& address,
                                       int receive_buffer_bytes) {
  state_ = new State;
  state_->owner = this;
  uv_tcp_init(loop_.GetHandle(), &state_->handle);
  state_->handle.data = state_;
  sockaddr_in local{};
  int rc = uv_ip4_addr(address.host.c_str(), address.port, &local);
  if (rc == 0) {
    rc = uv_tcp_bind(&state_->handle, reinterpret_cast<sockaddr*>(&local), 0);
  }
  if (rc == 0 && receive_buffer_bytes != 0) {
    // Connections inherit it; it has to be set before their windows are scaled.
    rc = uv_recv_buffer_size(reinterpret_cast<uv_handle_t*>(&state_->handle),
                             &receive_buffer_bytes);
  }
  if (rc == 0) {
    rc = uv_listen(reinterpret_cast<uv_stream_t*>(&state_->handle),
                   kListenBacklog, [](uv_stream_t* stream, int status) {
                     auto* state = static_cast<State*>(stream->data);
                     if (status == 0 && state->owner != nullptr) {
                       state->owner->AcceptConnection();
                     }
                   });
  }
  return rc == 0 ? std::error_code{}
                 : std::error_code(-rc, std::system_category());
}

void StreamListener::Stop() {
  if (state_ == nullptr) {
    return;
  }
  State* state = std::exchange(state_, nullptr);
  state->owner = nullptr;
  uv_close(
      reinterpret_cast<uv_handle_t*>(&state->handle),
      [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
}

void StreamListener::AcceptConnection() {
  Stream stream;
  stream.state_ = new Stream::State;
  stream.state_->owner = &stream;
  uv_tcp_init(loop_.GetHandle(), &stream.state_->handle);
  stream.state_->handle.data = stream.state_;
  const int rc =
      uv_accept(reinterpret_cast<uv_stream_t*>(&state_->handle),
                reinterpret_cast<uv_stream_t*>(&stream.state_->handle));
  if (rc == 0) {
    accept_(std::move(stream));
  }
}

}  // namespace magnoliareel
