#ifndef MAGNOLIAREEL_HTTP_SERVER_HTTP_RESPONDER_H_
#define MAGNOLIAREEL_HTTP_SERVER_HTTP_RESPONDER_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliareel {

/** A request that arrived whole. */
struct HttpRequest {
  /** GET, POST, ... */
  std::string method;
  /** Path without the query. */
  std::string path;
  /** The body; empty if there was none. */
  std::string body;
  /** Value of the header X-Magnoliareel-Caller. */
  std::string caller;
  /** Value of the header X-Magnoliareel-Key. */
  std::string key;
  /** True if the body exceeded the server's limit; the body is then empty. */
  bool is_too_large = false;
};

/** An answer to be sent. */
struct HttpResponse {
  /** HTTP status code. */
  int status = 200;
  /** The body. */
  std::string body;
  /** MIME type of the body. */
  std::string_view content_type = "application/json";
};

/** The right to answer one request, once, from any thread.

    @see HttpServer
*/
class HttpResponder {
 public:
  /** Implemented by the server. */
  class Target {
   public:
    virtual ~Target() = default;
    /** Sends the answer. @param response  what to send */
    virtual void Respond(HttpResponse response) = 0;
    /** Closes the caller's connection without an answer. */
    virtual void Abandon() = 0;
  };

  /** @param target  receives the answer */
  explicit HttpResponder(std::shared_ptr<Target> target)
      : target_(std::move(target)) {}

  /** Sends the answer. @param response  what to send */
  void Send(HttpResponse response) const {
    target_->Respond(std::move(response));
  }
  /** Closes the connection without an answer. */
  void Drop() const { target_->Abandon(); }

 private:
  std::shared_ptr<Target> target_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HTTP_SERVER_HTTP_RESPONDER_H_
