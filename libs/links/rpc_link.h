#ifndef MAGNOLIAREEL_LINKS_RPC_LINK_H_
#define MAGNOLIAREEL_LINKS_RPC_LINK_H_

#include <json/value.h>

#include <functional>
#include <string>
#include <utility>

#include "core/core.h"
#include "http/http.h"
#include "rpc/rpc.h"

namespace magnoliareel {

/** Result of an RPC call. */
struct RpcReply {
  /** Empty if a result arrived; kUnreachable if nothing was sent; kAnswerLost
      if the method may have run. */
  std::error_code ec;
  /** Result of the method, an object. */
  Json::Value result;
};

/** Converts the reply of an HTTP call that carries an RPC response.

    @param reply  reply of the HTTP call
    @returns      the result of the method, or the error of the HTTP call;
                  kAnswerLost if the status is not 200 or the body holds no
                  result
*/
RpcReply ParseRpcReply(const HttpResult& reply);

/** Makes RPC calls to the control interface of other processes; replies arrive
    on the control thread.

    @tparam E  executor of the control thread
    @see RpcDispatcher
*/
template <Executor E>
class RpcLink {
 public:
  /** Constructs a link.

      @param executor  executor of the control thread; must outlive the link
      @param client    HTTP client; must outlive the link
  */
  RpcLink(E& executor, HttpClient& client)
      : executor_(executor), client_(client) {}

  /** Calls a method.

      @param address     "host:port" of the process
      @param method      name of the method
      @param parameters  parameters of the method, an object
      @param timeout     longest wait for the answer
      @param done        receives the result; called exactly once, never before
                         Call() returns
  */
  void Call(const std::string& address,
            const std::string& method,
            const Json::Value& parameters,
            Duration timeout,
            std::function<void(RpcReply)> done) {
    HttpCall call;
    if (!ParseSocketAddress(address, call.address)) {
      executor_.Post([done = std::move(done)] {
        done({Error::kUnreachable, {}});
      });
      return;
    }
    call.path = "/rpc";
    call.body = MakeRpcRequest(method, parameters);
    call.timeout = timeout;
    client_.Send(std::move(call), [this, done = std::move(done)](
                                      const HttpResult& reply) {
      executor_.Post([done, result = ParseRpcReply(reply)] { done(result); });
    });
  }

 private:
  E& executor_;
  HttpClient& client_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_LINKS_RPC_LINK_H_
