#include "net/streams/stream.h"

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cassert>
#include <utility>

#include "net/streams/stream_state.h"

namespace magnoliareel {
namespace {

// Each read is fully processed before the next, so one buffer per thread is
// enough.
constexpr size_t kReadBufferBytes = 64 * 1024;
// A larger buffer is freed once its bytes were sent, because each connection
// has one. Nearly all answers are shorter.
constexpr size_t kMaxRetainedBytes = 16 * 1024;
// TCP keep-alive of an idle connection: the first probe after 1 s, then one
// every second; two unanswered probes end the connection. The total is close to
// kSilentPeerTimeout.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveProbes = 2;

struct PendingWrite {
  uv_write_t request{};
  std::string bytes;
};

void SetOption(int fd, int level, int option, int value) {
  // A failure is ignored: with the kernel's default a lost peer is detected
  // later, but everything still works.
  setsockopt(fd, level, option, &value, sizeof value);
}

std::error_code ToErrorCode(int uv_error) {
  if (uv_error == UV_EOF) {
    // UV_EOF is specific to libuv; errno has no value for the end of a stream.
    return Error::kPeerClosed;
  }
  return {-uv_error, std::system_category()};
}

}  // namespace

void Stream::State::Release() {
  owner = nullptr;
  handle.data = this;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle), [](uv_handle_t* closed) {
    delete static_cast<State*>(closed->data);
  });
}

void Stream::State::End(int uv_error) {
  if (owner == nullptr) {
    return;
  }
  owner->state_ = nullptr;
  owner->out_.clear();
  const Events handler = events;
  Release();
  handler.closed(handler.target, ToErrorCode(uv_error));
}

void Stream::State::ApplyOptions() {
  uv_tcp_nodelay(&handle, 1);
  uv_os_fd_t fd = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&handle), &fd) != 0) {
    return;
  }
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(kSilentPeerTimeout.count() / 1000));
}

void Stream::State::StartReading() {
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&handle),
      [](uv_handle_t*, size_t, uv_buf_t* buf) {
        thread_local std::array<char, kReadBufferBytes> buffer;
        *buf = uv_buf_init(buffer.data(), buffer.size());
      },
      [](uv_stream_t* stream, ssize_t n, const uv_buf_t* buf) {
        auto* state = static_cast<State*>(stream->data);
        if (state->owner == nullptr) {
          return;
        }
        if (n < 0) {
          state->End(static_cast<int>(n));
        } else if (n > 0) {
          state->events.received(state->events.target,
                                 {buf->base, static_cast<size_t>(n)});
        }
      });
}

Stream::Stream(Stream&& other) noexcept
    : state_(std::exchange(other.state_, nullptr)),
      out_(std::move(other.out_)) {
  if (state_ != nullptr) {
    state_->owner = this;
  }
}

Stream& Stream::operator=(Stream&& other) noexcept {
  Close();
  state_ = std::exchange(other.state_, nullptr);
  out_ = std::move(other.out_);
  if (state_ != nullptr) {
    state_->owner = this;
  }
  return *this;
}

void Stream::StartConnect(EventLoop& loop,
                          const SocketAddress& address,
                          Events events) {
  Close();
  state_ = new State;
  state_->owner = this;
  state_->events = events;
  uv_tcp_init(loop.GetHandle(), &state_->handle);
  state_->handle.data = state_;
  state_->connect.data = state_;
  sockaddr_in peer{};
  int rc = uv_ip4_addr(address.host.c_str(), address.port, &peer);
  if (rc == 0) {
    rc = uv_tcp_connect(&state_->connect, &state_->handle,
                        reinterpret_cast<const sockaddr*>(&peer),
                        [](uv_connect_t* request, int status) {
                          auto* state = static_cast<State*>(request->data);
                          if (state->owner == nullptr) {
                            return;
                          }
                          if (status != 0) {
                            state->End(status);
                            return;
                          }
                          state->ApplyOptions();
                          state->StartReading();
                          state->events.opened(state->events.target);
                        });
  }
  if (rc != 0) {
    // Deferred, because the caller may not have stored the stream yet.
    loop.Defer([state = state_, rc] { state->End(rc); });
  }
}

void Stream::StartServe(Events events) {
  assert(state_ != nullptr);
  state_->events = events;
  state_->ApplyOptions();
  state_->StartReading();
}

void Stream::Flush() {
  if (state_ == nullptr || out_.empty()) {
    return;
  }
  size_t sent = 0;
  auto* stream = reinterpret_cast<uv_stream_t*>(&state_->handle);
  if (state_->queued == 0) {
    const uv_buf_t buf =
        uv_buf_init(out_.data(), static_cast<unsigned>(out_.size()));
    if (const int n = uv_try_write(stream, &buf, 1); n > 0) {
      sent = static_cast<size_t>(n);
    }
  }
  if (sent == out_.size()) {
    out_.clear();
    if (out_.capacity() > kMaxRetainedBytes) {
      out_.shrink_to_fit();
    }
    return;
  }
  auto* write = new PendingWrite;
  write->bytes = out_.substr(sent);
  write->request.data = state_;
  out_ = std::string();
  state_->queued += write->bytes.size();
  const uv_buf_t buf = uv_buf_init(write->bytes.data(),
                                   static_cast<unsigned>(write->bytes.size()));
  const int rc = uv_write(
      &write->request, stream, &buf, 1, [](uv_write_t* req, int status) {
        auto* finished = reinterpret_cast<PendingWrite*>(req);
        auto* state = static_cast<State*>(req->data);
        state->queued -= finished->bytes.size();
        delete finished;
        if (status != 0 || (state->closes_when_sent && state->queued == 0)) {
          state->End(status);
        }
      });
  if (rc != 0) {
    state_->queued -= write->bytes.size();
    delete write;
    // The read callback reports the end of a connection that cannot be written.
  }
}

size_t Stream::GetUnsentBytes() const {
  return out_.size() + (state_ == nullptr ? 0 : state_->queued);
}

bool Stream::HasUnread() const {
  uv_os_fd_t fd = -1;
  if (state_ == nullptr ||
      uv_fileno(reinterpret_cast<const uv_handle_t*>(&state_->handle), &fd) !=
          0) {
    return false;
  }
  int n = 0;
  return ioctl(fd, FIONREAD, &n) == 0 && n > 0;
}

void Stream::Pause() {
  if (state_ != nullptr) {
    uv_read_stop(reinterpret_cast<uv_stream_t*>(&state_->handle));
  }
}

void Stream::Resume() {
  if (state_ != nullptr && !state_->closes_when_sent) {
    state_->StartReading();
  }
}

bool Stream::CloseWhenSent() {
  Flush();
  if (state_ == nullptr || state_->queued == 0) {
    Close();
    return false;
  }
  state_->closes_when_sent = true;
  uv_read_stop(reinterpret_cast<uv_stream_t*>(&state_->handle));
  return true;
}

void Stream::Close() {
  if (state_ == nullptr) {
    return;
  }
  Flush();
  if (state_ != nullptr) {
    std::exchange(state_, nullptr)->Release();
  }
  out_.clear();
}

}  // namespace magnoliareel
