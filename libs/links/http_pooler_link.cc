#include "links/http_pooler_link.h"

#include <utility>

#include "codec/codec.h"

namespace magnoliareel {
namespace {

PoolerReply ParseReply(const HttpResult& reply, const RequestId& request) {
  PoolerReply result;
  result.ec = reply.ec;
  if (reply.ec) {
    return result;
  }
  Findings findings;
  result.answer = ParsePoolerAnswer(reply.body, findings);
  if (reply.status != 200 || !findings.IsEmpty() ||
      result.answer.request != request) {
    result.ec = Error::kAnswerLost;
  }
  return result;
}

}  // namespace

void HttpPoolerLink::Ping(const std::string& address,
                          Duration timeout,
                          const PingCompletion& done) {
  HttpCall call;
  if (!ParseSocketAddress(address, call.address)) {
    done(Error::kUnreachable);
    return;
  }
  call.path = "/health";
  call.timeout = timeout;
  client_.Send(std::move(call), [done](const HttpResult& reply) {
    done(!reply.ec && reply.status != 200 ? make_error_code(Error::kAnswerLost)
                                          : reply.ec);
  });
}

void HttpPoolerLink::Call(const std::string& address,
                          const PoolerRequest& request,
                          Duration timeout,
                          PoolerReplyCompletion done) {
  HttpCall call;
  if (!ParseSocketAddress(address, call.address)) {
    done({Error::kUnreachable, {}});
    return;
  }
  call.path = "/v1/run";
  call.body = FormatPoolerRequest(request);
  call.timeout = timeout;
  client_.Send(std::move(call),
               [done = std::move(done), id = request.request](
                   const HttpResult& reply) { done(ParseReply(reply, id)); });
}

}  // namespace magnoliareel
