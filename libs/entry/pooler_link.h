#ifndef MAGNOLIAREEL_ENTRY_POOLER_LINK_H_
#define MAGNOLIAREEL_ENTRY_POOLER_LINK_H_

#include <concepts>
#include <functional>
#include <string>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** How a call to a pooler ended. */
struct PoolerReply {
  /** kUnreachable if nothing was sent, kAnswerLost if it may have been
      received; empty if an answer arrived. */
  std::error_code ec;
  /** The answer, if one arrived. */
  PoolerAnswer answer;
};

/** Receives the end of a call, on any thread. */
using PoolerReplyCompletion = std::function<void(PoolerReply)>;

/** Receives the end of a ping, on any thread. */
using PingCompletion = std::function<void(std::error_code)>;

/** Calls poolers by their address. Calls back exactly once. */
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
