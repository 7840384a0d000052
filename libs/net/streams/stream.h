#ifndef MAGNOLIAREEL_NET_STREAMS_STREAM_H_
#define MAGNOLIAREEL_NET_STREAMS_STREAM_H_

#include <concepts>
#include <string>
#include <string_view>
#include <system_error>

#include "net/loop/event_loop.h"
#include "settings/settings.h"

namespace magnoliareel {

/** What is told of a stream's events.

    HandleClosed() is called at most once, and not after Stream::Close(). The
    stream may be closed or destroyed within any of the calls.

    @see Stream
*/
template <class T>
concept StreamHandler = requires(T& handler,
                                 std::string_view bytes,
                                 std::error_code ec) {
  { handler.HandleOpened() } -> std::same_as<void>;
  { handler.HandleBytes(bytes) } -> std::same_as<void>;
  { handler.HandleClosed(ec) } -> std::same_as<void>;
};

/** Limits of the kernel on a silent peer. A peer that acknowledges nothing for
    this long is lost: short enough to be noticed within a configuration's
    bound of 4 s, long enough for two lost packets across regions. */
inline constexpr Duration kSilentPeerTimeout = std::chrono::milliseconds(2500);

/** A TCP connection on an event loop. @see StreamHandler, StreamListener */
class Stream {
 public:
  Stream() = default;
  ~Stream() { Close(); }
  Stream(Stream&& other) noexcept;
  Stream& operator=(Stream&& other) noexcept;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /** Begins to connect; replaces a connection that was open.

      @tparam H       @see StreamHandler
      @param loop     the loop that serves the stream
      @param address  the peer
      @param handler  outlives the stream's events
  */
  template <StreamHandler H>
  void Connect(EventLoop& loop, const SocketAddress& address, H& handler) {
    StartConnect(loop, address, MakeEvents(handler));
  }

  /** Starts to read an accepted connection.

      @tparam H       @see StreamHandler
      @param handler  outlives the stream's events; HandleOpened() is not called
  */
  template <StreamHandler H>
  void Serve(H& handler) {
    StartServe(MakeEvents(handler));
  }

  /** Adds bytes to what the next Flush() sends. */
  void Append(std::string_view bytes) { out_.append(bytes); }
  /** @returns the buffer that the next Flush() sends, to append to */
  std::string& GetBuffer() { return out_; }
  /** Sends what was appended; what the kernel does not take waits here. */
  void Flush();
  /** @returns number of bytes that the kernel has not taken yet */
  size_t GetUnsentBytes() const;
  /** @returns true if received bytes wait in the kernel */
  bool HasUnread() const;
  /** Ends the connection; no further calls to the handler. */
  void Close();
  /** @returns false before Connect(), after Close() and after HandleClosed() */
  bool IsOpen() const { return state_ != nullptr; }

 private:
  friend class StreamListener;

  struct Events {
    void* target = nullptr;
    void (*opened)(void*) = nullptr;
    void (*received)(void*, std::string_view) = nullptr;
    void (*closed)(void*, std::error_code) = nullptr;
  };
  struct State;

  template <StreamHandler H>
  static Events MakeEvents(H& handler) {
    return {&handler, [](void* it) { static_cast<H*>(it)->HandleOpened(); },
            [](void* it, std::string_view bytes) {
              static_cast<H*>(it)->HandleBytes(bytes);
            },
            [](void* it, std::error_code ec) {
              static_cast<H*>(it)->HandleClosed(ec);
            }};
  }

  void StartConnect(EventLoop& loop,
                    const SocketAddress& address,
                    Events events);
  void StartServe(Events events);

  State* state_ = nullptr;
  std::string out_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_NET_STREAMS_STREAM_H_
