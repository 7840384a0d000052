#include "net/datagrams/datagram_socket.h"

#include <array>
#include <utility>

namespace magnoliareel {
namespace {

constexpr size_t kMaxDatagramBytes = 2048;

}  // namespace

DatagramSocket::DatagramSocket(EventLoop& loop,
                               std::function<void(std::string_view)> receive)
    : state_(new State) {
  state_->receive = std::move(receive);
  uv_udp_init(loop.GetHandle(), &state_->handle);
  state_->handle.data = state_;
}

DatagramSocket::~DatagramSocket() {
  state_->receive = nullptr;
  uv_close(
      reinterpret_cast<uv_handle_t*>(&state_->handle),
      [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
}

std::error_code DatagramSocket::Bind(const SocketAddress& address) {
  sockaddr_in local{};
  int rc = uv_ip4_addr(address.host.c_str(), address.port, &local);
  if (rc == 0) {
    rc = uv_udp_bind(&state_->handle, reinterpret_cast<sockaddr*>(&local),
                     UV_UDP_REUSEADDR);
  }
  if (rc == 0) {
    rc = uv_udp_recv_start(
        &state_->handle,
        [](uv_handle_t*, size_t, uv_buf_t* buf) {
          thread_local std::array<char, kMaxDatagramBytes> buffer;
          *buf = uv_buf_init(buffer.data(), buffer.size());
        },
        [](uv_udp_t* handle, ssize_t n, const uv_buf_t* buf,
           const sockaddr* from, unsigned) {
          auto* state = static_cast<State*>(handle->data);
          if (n > 0 && from != nullptr && state->receive) {
            state->receive({buf->base, static_cast<size_t>(n)});
          }
        });
  }
  return rc == 0 ? std::error_code{}
                 : std::error_code(-rc, std::system_category());
}

void DatagramSocket::Send(const SocketAddress& address,
                          std::string_view bytes) {
  sockaddr_in peer{};
  if (uv_ip4_addr(address.host.c_str(), address.port, &peer) != 0) {
    return;
  }
  const uv_buf_t buf = uv_buf_init(const_cast<char*>(bytes.data()),
                                   static_cast<unsigned>(bytes.size()));
  // A datagram that the kernel rejects counts as lost: senders repeat their
  // content in the next one.
  uv_udp_try_send(&state_->handle, &buf, 1,
                  reinterpret_cast<const sockaddr*>(&peer));
}

}  // namespace magnoliareel
