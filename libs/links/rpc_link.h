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

/** End of a control call. */
struct RpcReply {
  /** kUnreachable, kAnswerLost, or empty if a result arrived. */
  std::error_code ec;
  /** The result, an object. */
  Json::Value result;
};

/** @param reply  end of an HTTP call  @returns the same as a control call's */
RpcReply ParseRpcReply(const HttpResult& reply);

/** Makes control calls to other processes; replies arrive on the control
    thread.

    @tparam E  the control thread
    @see RpcDispatcher
*/
template <Executor E>
class RpcLink {
 public:
  /** @param executor  the control thread
      @param client    makes the calls
  */
  RpcLink(E& executor, HttpClient& client)
      : executor_(executor), client_(client) {}

  /** Calls a method.

      @param address     "host:port" of the process
      @param method      its name
      @param parameters  an object
      @param timeout     longest time for the answer
      @param done        called once, never before this returns
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
