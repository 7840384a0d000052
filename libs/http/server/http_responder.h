#ifndef MAGNOLIAREEL_HTTP_SERVER_HTTP_RESPONDER_H_
#define MAGNOLIAREEL_HTTP_SERVER_HTTP_RESPONDER_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliareel {

/** A completely received request. */
struct HttpRequest {
  /** The HTTP method, such as "GET" or "POST". */
  std::string method;
  /** Path without the query. */
  std::string path;
  /** The body; may be empty. */
  std::string body;
  /** Value of the header X-Magnoliareel-Caller. */
  std::string caller;
  /** Value of the header X-Magnoliareel-Key. */
  std::string key;
  /** True if the body exceeded the server's limit; the body is then empty. */
  bool is_too_large = false;
};

/** A response to send. */
struct HttpResponse {
  /** HTTP status code. */
  int status = 200;
  /** The body. */
  std::string body;
  /** MIME type of the body. */
  std::string_view content_type = "application/json";
};

/** A handle for responding to one request. Send() or Drop() is called once, on
    any thread.

    @see HttpServer
*/
class HttpResponder {
 public:
  /** The connection of the request; implemented by the server. */
  class Delegate {
   public:
    virtual ~Delegate() = default;
    /** Sends the response.

        @param response  the response
    */
    virtual void Respond(HttpResponse response) = 0;
    /** Closes the connection without a response. */
    virtual void Abandon() = 0;
  };

  /** @param delegate  receives the response */
  explicit HttpResponder(std::shared_ptr<Delegate> delegate)
      : delegate_(std::move(delegate)) {}

  /** Sends the response.

      @param response  the response
  */
  void Send(HttpResponse response) const {
    delegate_->Respond(std::move(response));
  }
  /** Closes the connection without a response. */
  void Drop() const { delegate_->Abandon(); }

 private:
  std::shared_ptr<Delegate> delegate_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HTTP_SERVER_HTTP_RESPONDER_H_
