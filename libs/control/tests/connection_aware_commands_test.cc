#include "control/failover/connection_aware_commands.h"

#include <functional>
#include <system_error>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

/** An endpoint that answers every command with the same result, and the traffic
    threads' connections to it. */
struct FakeEndpoint {
  void Send(const EndpointEntry&,
            const EndpointCommand&,
            Duration,
            const EndpointCommandCompletion& done) const {
    done(result, {});
  }
  void QueryOpenConnection(const EndpointId& endpoint,
                           const std::function<void(bool)>& done) {
    ++queries;
    done(has_open_connection && endpoint.value == "db-1");
  }

  std::error_code result;
  bool has_open_connection = false;
  int queries = 0;
};

}  // namespace

TEST_GROUP(ConnectionAwareCommands) {
  std::error_code Send() {
    EndpointEntry entry;
    entry.id.value = "db-1";
    std::error_code result;
    commands.Send(entry, {EndpointCommandKind::kDemote, Term{2}},
                  kEndpointCommandTimeout,
                  [&result](std::error_code ec, const ReplicationStatus&) {
                    result = ec;
                  });
    return result;
  }

  FakeEndpoint endpoint;
  ConnectionAwareCommands<FakeEndpoint, FakeEndpoint> commands{endpoint,
                                                               endpoint};
};

TEST(ConnectionAwareCommands, AnEndpointWithOpenConnectionsIsNotStopped) {
  // A primary that refused only new connections was replaced without a demotion
  // and went on to acknowledge on the open ones (LOST).
  endpoint.result = Error::kEndpointStopped;
  endpoint.has_open_connection = true;
  CHECK(Send() == Error::kAnswerLost);
}

TEST(ConnectionAwareCommands, AnEndpointWithoutOpenConnectionsIsStopped) {
  endpoint.result = Error::kEndpointStopped;
  CHECK(Send() == Error::kEndpointStopped);
}

TEST(ConnectionAwareCommands, OtherResultsAreNotChanged) {
  endpoint.has_open_connection = true;
  for (const std::error_code ec :
       {std::error_code(), make_error_code(Error::kOverloaded),
        make_error_code(Error::kUnreachable)}) {
    endpoint.result = ec;
    CHECK(Send() == ec);
  }
  LONGS_EQUAL(0, endpoint.queries);
}

}  // namespace magnoliareel
