#include "links/rpc_link.h"

namespace magnoliareel {

RpcReply ParseRpcReply(const HttpResult& reply) {
  RpcReply result;
  result.ec = reply.ec;
  if (!result.ec &&
      (reply.status != 200 || !ParseRpcResponse(reply.body, result.result))) {
    result.ec = Error::kAnswerLost;
  }
  return result;
}

}  // namespace magnoliareel
