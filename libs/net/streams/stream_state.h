#ifndef MAGNOLIAREEL_NET_STREAMS_STREAM_STATE_H_
#define MAGNOLIAREEL_NET_STREAMS_STREAM_STATE_H_

#include "net/streams/stream.h"

namespace magnoliareel {

/** The libuv handles of a connection. A state outlives its Stream until libuv
    has closed the handle.

    @see Stream
*/
struct Stream::State {
  uv_tcp_t handle{};
  uv_connect_t connect{};
  /** The stream that uses this state; null once it was closed. */
  Stream* owner = nullptr;
  Events events;
  /** Bytes in writes that libuv has queued. */
  size_t queued = 0;

  /** The connection is closed once no write is queued. */
  bool closes_when_sent = false;

  /** Closes the connection and calls HandleClosed().

      @param uv_error  libuv's error, or 0 if there was none
  */
  void End(int uv_error);
  /** Starts to read and passes received bytes to the handler. */
  void StartReading();
  /** Sets TCP_NODELAY, keep-alive and the user timeout. */
  void ApplyOptions();
  /** Detaches the owner and closes the handle; the close callback deletes the
      state. */
  void Release();
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_NET_STREAMS_STREAM_STATE_H_
