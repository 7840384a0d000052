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

/** A keep-alive connection to an HTTP server. Calls are sent one at a time, in
    order.

    A call completes with a reply, with Error::kUnreachable if nothing was sent,
    or with Error::kAnswerLost if the server may have processed it. After a
    timeout or a lost connection the next call opens a new connection.
*/
class HttpConnection {
 public:
  /** Receives the result of a call; the reply is valid if there is no error. */
  using Completion = std::function<void(std::error_code, const Reply&)>;

  /** @param loop     serves the connection; outlives it
      @param address  the server
  */
  HttpConnection(EventLoop& loop, SocketAddress address);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Queues a call.

      @param request  what to send
      @param timeout  longest wait for the reply, counted from the moment the
                      call is at the head of the queue, connecting included
      @param done     called exactly once, on the loop's thread
  */
  void Call(Request request, Duration timeout, Completion done);
  /** @returns true if no call is queued or awaits its reply. A connection that
               is destroyed before does not complete its calls. */
  bool IsIdle() const { return calls_.empty(); }

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
    // An idle connection may have been closed by the server unnoticed. A GET
    // without a reply is then retried once on a new connection.
    bool retried = false;
  };

  void StartFrontCall();
  void SendFrontCall();
  void FinishFrontCall(std::error_code ec);
  void ResetParser();
  void AppendHeaderName(std::string_view part);

  EventLoop& loop_;
  SocketAddress address_;
  Stream stream_;
  LoopTimer timer_;
  std::deque<PendingCall> calls_;
  bool connected_ = false;
  bool reply_complete_ = false;
  bool in_header_name_ = false;
  bool keep_alive_ = true;
  // Replies received on the current connection.
  size_t reply_count_ = 0;
  http_parser parser_{};
  http_parser_settings parser_settings_{};
  Reply reply_;
};

}  // namespace magnoliareel::net

#endif  // MAGNOLIAREEL_NET_HTTP_HTTP_CONNECTION_H_
