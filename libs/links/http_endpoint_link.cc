#include "links/http_endpoint_link.h"

namespace magnoliareel {

EndpointReply ParseEndpointReply(const HttpResult& reply) {
  EndpointReply result;
  result.ec = reply.ec;
  if (reply.ec) {
    return result;
  }
  Findings findings;
  result.answer = ParseEndpointAnswer(reply.body, findings);
  if (reply.status != 200 || !findings.IsEmpty()) {
    result.ec = Error::kAnswerLost;
  }
  return result;
}

}  // namespace magnoliareel
