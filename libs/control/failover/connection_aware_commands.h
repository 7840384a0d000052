#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_CONNECTION_AWARE_COMMANDS_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_CONNECTION_AWARE_COMMANDS_H_

#include <functional>
#include <system_error>
#include <utility>

#include "control/failover/endpoint_commands.h"
#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Finds out whether this VM's callers still use connections to an endpoint. */
template <class Q>
concept OpenConnectionQuery = requires(Q& query,
                                       const EndpointId& endpoint,
                                       std::function<void(bool)> done) {
  query.QueryOpenConnection(endpoint, done);
};

/** Sends commands to endpoints, and does not take one for stopped that refuses
    new connections while the traffic threads have open ones to it: it may lead
    and acknowledge commits there.

    @see EndpointCommandSender
    @tparam C  sends the commands
    @tparam Q  @see OpenConnectionQuery
*/
template <EndpointCommandSender C, class Q>
class ConnectionAwareCommands {
 public:
  /** @param commands  must outlive this object
      @param query     must outlive this object
  */
  ConnectionAwareCommands(C& commands, Q& query)
      : commands_(commands), query_(query) {
    // Checked here because Q is incomplete where it declares its member of this
    // type.
    static_assert(OpenConnectionQuery<Q>);
  }

  /** Sends a command.

      @param endpoint  the endpoint
      @param command   the command
      @param timeout   longest time until the endpoint has answered
      @param done      receives the result; Error::kAnswerLost instead of
                       Error::kEndpointStopped if a connection is open
  */
  void Send(const EndpointEntry& endpoint,
            const EndpointCommand& command,
            Duration timeout,
            EndpointCommandCompletion done) {
    commands_.Send(
        endpoint, command, timeout,
        [this, id = endpoint.id, done = std::move(done)](
            std::error_code ec, const ReplicationStatus& status) {
          if (ec != Error::kEndpointStopped) {
            done(ec, status);
            return;
          }
          query_.QueryOpenConnection(id, [done](bool is_open) {
            done(is_open ? Error::kAnswerLost : Error::kEndpointStopped, {});
          });
        });
  }

 private:
  C& commands_;
  Q& query_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_CONNECTION_AWARE_COMMANDS_H_
