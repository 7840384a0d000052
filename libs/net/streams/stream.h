#ifndef MAGNOLIAREEL_NET_STREAMS_STREAM_H_
#define MAGNOLIAREEL_NET_STREAMS_STREAM_H_

#include <concepts>
#include <string>
#include <string_view>
#include <system_error>

#include "net/loop/event_loop.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Receives the events of a stream.

    HandleClosed() is called at most once, and not after Stream::Close(). The
    stream may be closed or destroyed in any of these functions.

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

/** TCP_USER_TIMEOUT of every connection: a peer that acknowledges nothing for
    this long counts as lost. It is short enough for the loss to be detected
    within the 4 s that a configuration allows, and long enough for two lost
    packets across regions. */
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

  /** Starts to connect; closes the current connection first, if any. Errors are
      reported through HandleClosed().

      @tparam H       @see StreamHandler
      @param loop     the loop that serves the stream
      @param address  the peer
      @param handler  receives the events; outlives the connection
  */
  template <StreamHandler H>
  void Connect(EventLoop& loop, const SocketAddress& address, H& handler) {
    StartConnect(loop, address, MakeEvents(handler));
  }

  /** Starts to read an accepted connection.

      @tparam H       @see StreamHandler
      @param handler  receives the events; outlives the connection.
                      HandleOpened() is not called
  */
  template <StreamHandler H>
  void Serve(H& handler) {
    StartServe(MakeEvents(handler));
  }

  /** Appends bytes to the buffer that the next Flush() sends. */
  void Append(std::string_view bytes) { out_.append(bytes); }
  /** @returns the buffer that the next Flush() sends; bytes may be appended */
  std::string& GetBuffer() { return out_; }
  /** Sends the buffered bytes; those that the kernel does not accept yet stay
      queued. */
  void Flush();
  /** @returns the number of bytes that the kernel has not accepted yet */
  size_t GetUnsentBytes() const;
  /** @returns true if the kernel holds received bytes that are not read yet */
  bool HasUnread() const;
  /** Stops to read until Resume(). The kernel then holds the sender back. The
      end of the connection is not noticed meanwhile. */
  void Pause();
  /** Reads again after Pause(). */
  void Resume();
  /** Flushes the buffer and closes the connection at once; bytes that the
      kernel does not accept yet are lost. The handler is not called any more.
   */
  void Close();
  /** Flushes the buffer and closes the connection as soon as the kernel has
      accepted all bytes. Nothing is read from now on.

      @returns true if bytes are left; HandleClosed() is called later, with
               success once they were accepted. False if the connection was
               closed at once; the handler is not called any more
  */
  bool CloseWhenSent();
  /** @returns true while the stream connects or is connected */
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
