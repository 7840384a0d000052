#ifndef MAGNOLIAREEL_NET_HTTP_HTTP_CONNECTION_H_
#define MAGNOLIAREEL_NET_HTTP_HTTP_CONNECTION_H_

#include <http_parser.h>

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>

#include "net/http/http_message.h"
#include "net/loop/loop_timer.h"
#include "net/streams/stream.h"

namespace magnoliareel::net {

/** One kept-alive connection to an HTTP server; calls go out one at a time, in
    order.

    A call ends with an answer, with Error::kUnreachable if nothing was sent,
    or with Error::kAnswerLost if it may have been carried out. After a timeout
    or a lost connection the next call opens a new one.
*/
class HttpConnection {
 public:
  /** Told of a call's end. */
  using Completion = std::function<void(std::error_code, const Reply&)>;

  /** @param loop     serves the connection; outlives it
      @param address  the server
  */
  HttpConnection(EventLoop& loop, SocketAddress address);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Queues a call.

      @param request  what to send
      @param timeout  from when it is sent, connecting included
      @param done     called once, on the loop's thread
  */
  void Call(Request request, Duration timeout, Completion done);

  /** @see StreamHandler */
  void HandleOpened();
  /** @see StreamHandler */
  void HandleBytes(std::string_view bytes);
  /** @see StreamHandler */
  void HandleClosed(std::error_code ec);

 private:
  struct PendingCall {
    Request request;
    Duration timeout;
    Completion done;
    bool sent = false;
    // A kept connection may have ended unnoticed; one repeat on a new one is
    // allowed while the server has answered nothing and the call only reads.
    bool repeated = false;
  };

  void StartFrontCall();
  void SendFrontCall();
  void FinishFrontCall(std::error_code ec);
  void ResetParser();

  EventLoop& loop_;
  SocketAddress address_;
  Stream stream_;
  LoopTimer timer_;
  std::deque<PendingCall> calls_;
  bool connected_ = false;
  bool reply_complete_ = false;
  bool keep_alive_ = true;
  size_t reply_count_ = 0;
  http_parser parser_{};
  http_parser_settings parser_settings_{};
  Reply reply_;
};

}  // namespace magnoliareel::net

#endif  // MAGNOLIAREEL_NET_HTTP_HTTP_CONNECTION_H_
