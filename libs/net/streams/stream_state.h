#ifndef MAGNOLIAREEL_NET_STREAMS_STREAM_STATE_H_
#define MAGNOLIAREEL_NET_STREAMS_STREAM_STATE_H_

#include "net/streams/stream.h"

namespace magnoliareel {

/** What libuv refers to; outlives its Stream until libuv lets go of it.
    @see Stream */
struct Stream::State {
  uv_tcp_t handle{};
  uv_connect_t connect{};
  Stream* owner = nullptr;
  Events events;
  /** Number of bytes in writes that libuv has queued. */
  size_t queued = 0;

  /** Ends the connection and tells its owner why. */
  void Fail(int uv_error);
  /** Reads until the connection ends. */
  void StartReading();
  /** Applies the options that every connection has. */
  void ApplyOptions();
  /** Closes the handle; the state deletes itself afterwards. */
  void Release();
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_NET_STREAMS_STREAM_STATE_H_
