#ifndef MAGNOLIAREEL_ENTRY_POOLER_LINK_H_
#define MAGNOLIAREEL_ENTRY_POOLER_LINK_H_

#include <concepts>
#include <functional>
#include <string>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Result of a call to a pooler. */
struct PoolerReply {
  /** Error of the transport: kUnreachable if nothing was sent, kAnswerLost if
      the pooler may have received the request; empty if an answer arrived. */
  std::error_code ec;
  /** The answer; valid only if `ec` is empty. */
  PoolerAnswer answer;
};

/** Receives the result of a call, on any thread. */
using PoolerReplyCompletion = std::function<void(PoolerReply)>;

/** Receives the error of a ping, empty if the pooler answered; on any thread.
 */
using PingCompletion = std::function<void(std::error_code)>;

/** Transport to poolers, which are named by their address. Invokes each
    completion exactly once. */
template <class T>
concept PoolerLink = requires(T& link,
                              const std::string& address,
                              const PoolerRequest& request,
                              Duration timeout,
                              PoolerReplyCompletion done,
                              PingCompletion pinged) {
  link.Call(address, request, timeout, std::move(done));
  link.Ping(address, timeout, std::move(pinged));
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_POOLER_LINK_H_
