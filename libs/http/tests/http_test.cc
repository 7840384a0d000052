#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http/http.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);

HttpServerOptions MakeOptions() {
  HttpServerOptions options;
  options.listen = {"127.0.0.1", 0};
  options.max_body_bytes = 1000;
  return options;
}

HttpResult SendRequest(HttpClient& client,
                       uint16_t port,
                       const std::string& body) {
  HttpCall call;
  call.address = {"127.0.0.1", port};
  call.path = "/path";
  call.body = body;
  call.timeout = kTimeout;
  call.max_response_bytes = 5000;
  std::promise<HttpResult> promise;
  auto result = promise.get_future();
  client.Send(std::move(call),
              [&promise](HttpResult it) { promise.set_value(std::move(it)); });
  return result.get();
}

}  // namespace

TEST_GROUP(Http) {
  HttpClient client;
};

TEST(Http, TransmitsRequestsAndResponses) {
  HttpServer server(
      MakeOptions(), [](HttpRequest request, const HttpResponder& responder) {
        responder.Send(
            {201, request.method + " " + request.path + " " + request.body});
      });
  CHECK(!server.Start());
  const HttpResult result = SendRequest(client, server.GetPort(), "text");
  CHECK(!result.ec);
  LONGS_EQUAL(201, result.status);
  STRCMP_EQUAL("POST /path text", result.body.c_str());
}

TEST(Http, DoesNotRetryAfterALostConnection) {
  std::atomic<int> received = 0;
  HttpServer server(MakeOptions(), [&received](const HttpRequest&,
                                               const HttpResponder& responder) {
    if (++received == 1) {
      responder.Send({200, "first"});
    } else {
      responder.Drop();
    }
  });
  CHECK(!server.Start());
  CHECK(!SendRequest(client, server.GetPort(), "one").ec);
  CHECK(SendRequest(client, server.GetPort(), "two").ec == Error::kAnswerLost);
  LONGS_EQUAL(2, received.load());
}

TEST(Http, AProcessThatEndsDoesNotFailTheNextCallToAnother) {
  // Guards against a live peer that is reported as unreachable: the client had
  // reused the handle of a call that was lost with its server on a kept
  // connection.
  HttpServer live(MakeOptions(),
                  [](const HttpRequest&, const HttpResponder& responder) {
                    responder.Send({200, "live"});
                  });
  CHECK(!live.Start());
  for (int n = 0; n < 5; ++n) {
    std::promise<void> has_arrived;
    std::vector<HttpResponder> unanswered;
    auto ending = std::make_unique<HttpServer>(
        MakeOptions(),
        [&](const HttpRequest& request, const HttpResponder& responder) {
          if (request.body == "first") {
            responder.Send({200, ""});
          } else {
            unanswered.push_back(responder);
            has_arrived.set_value();
          }
        });
    CHECK(!ending->Start());
    const uint16_t port = ending->GetPort();
    CHECK(!SendRequest(client, port, "first").ec);
    auto lost = std::async(std::launch::async, [&] {
      return SendRequest(client, port, "second").ec;
    });
    has_arrived.get_future().wait();
    ending.reset();
    CHECK(lost.get() == Error::kAnswerLost);
    CHECK(!SendRequest(client, live.GetPort(), "third").ec);
  }
}

TEST(Http, ReportsUnreachableIfNothingWasSent) {
  uint16_t port = 0;
  {
    HttpServer server(MakeOptions(),
                      [](const HttpRequest&, const HttpResponder&) {});
    CHECK(!server.Start());
    port = server.GetPort();
  }
  CHECK(SendRequest(client, port, "x").ec == Error::kUnreachable);
}

TEST(Http, ReportsALostAnswerToARequestWithoutABody) {
  // The server may have received a request that was sent without a body.
  HttpServer server(MakeOptions(),
                    [](const HttpRequest&, const HttpResponder& responder) {
                      responder.Drop();
                    });
  CHECK(!server.Start());
  CHECK(SendRequest(client, server.GetPort(), "").ec == Error::kAnswerLost);
}

TEST(Http, EndsEveryCallWhenTheClientIsDestroyed) {
  // A call that the client's thread had not taken yet used to stay without an
  // end.
  HttpServer server(MakeOptions(),
                    [](const HttpRequest&, const HttpResponder& responder) {
                      responder.Send({200, ""});
                    });
  CHECK(!server.Start());
  constexpr int kCalls = 200;
  std::atomic<int> ended = 0;
  {
    HttpClient ending_client;
    for (int n = 0; n < kCalls; ++n) {
      HttpCall call;
      call.address = {"127.0.0.1", server.GetPort()};
      call.path = "/path";
      call.timeout = kTimeout;
      ending_client.Send(std::move(call), [&](const HttpResult&) { ++ended; });
    }
  }
  LONGS_EQUAL(kCalls, ended.load());
}

TEST(Http, LimitsTheSizeOfRequestsAndResponses) {
  HttpServer server(MakeOptions(), [](const HttpRequest& request,
                                      const HttpResponder& responder) {
    responder.Send({request.is_too_large ? 413 : 200, std::string(9000, 'x')});
  });
  CHECK(!server.Start());
  CHECK(SendRequest(client, server.GetPort(), "x").ec ==
        Error::kAnswerTooLarge);
  HttpServer short_responses(MakeOptions(), [](const HttpRequest& request,
                                               const HttpResponder& responder) {
    responder.Send({request.is_too_large ? 413 : 200, "{}"});
  });
  CHECK(!short_responses.Start());
  LONGS_EQUAL(413, SendRequest(client, short_responses.GetPort(),
                               std::string(5000, 'x'))
                       .status);
  LONGS_EQUAL(
      200, SendRequest(client, short_responses.GetPort(), std::string(500, 'x'))
               .status);
}

TEST(Http, DrainWaitsForRequestsInProgress) {
  std::promise<HttpResponder> arrived;
  HttpServer server(MakeOptions(), [&arrived](const HttpRequest&,
                                              const HttpResponder& responder) {
    arrived.set_value(responder);
  });
  CHECK(!server.Start());
  auto pending_result = std::async(std::launch::async, [this, &server] {
    return SendRequest(client, server.GetPort(), "slow");
  });
  const HttpResponder responder = arrived.get_future().get();
  LONGS_EQUAL(1, server.CountInProgress());
  CHECK_FALSE(server.Drain(std::chrono::milliseconds(10)));
  responder.Send({200, "done"});
  STRCMP_EQUAL("done", pending_result.get().body.c_str());
  CHECK(server.Drain(kTimeout));
}

TEST(Http, AnswersNewConnectionsWhileARequestIsInProgress) {
  // Guards against clients that take a process which is stopping for dead,
  // because it refuses their check, and give up its requests in progress.
  std::promise<HttpResponder> arrived;
  HttpServer server(MakeOptions(), [&arrived](const HttpRequest& request,
                                              const HttpResponder& responder) {
    if (request.body == "check") {
      responder.Send({200, "alive"});
    } else {
      arrived.set_value(responder);
    }
  });
  CHECK(!server.Start());
  auto pending_result = std::async(std::launch::async, [this, &server] {
    return SendRequest(client, server.GetPort(), "slow");
  });
  const HttpResponder responder = arrived.get_future().get();
  auto is_drained = std::async(std::launch::async,
                               [&server] { return server.Drain(kTimeout); });
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  HttpClient other_client;
  const HttpResult check = SendRequest(other_client, server.GetPort(), "check");
  responder.Send({200, "done"});
  CHECK(!check.ec);
  STRCMP_EQUAL("alive", check.body.c_str());
  STRCMP_EQUAL("done", pending_result.get().body.c_str());
  CHECK(is_drained.get());
}

TEST(Http, DestroyingTheServerAbortsRequestsInProgress) {
  std::promise<HttpResponder> arrived;
  auto server = std::make_unique<HttpServer>(
      MakeOptions(),
      [&arrived](const HttpRequest&, const HttpResponder& responder) {
        arrived.set_value(responder);
      });
  CHECK(!server->Start());
  const uint16_t port = server->GetPort();
  auto pending_result = std::async(std::launch::async, [this, port] {
    return SendRequest(client, port, "slow");
  });
  const HttpResponder responder = arrived.get_future().get();
  server.reset();
  CHECK(pending_result.get().ec == Error::kAnswerLost);
  responder.Send({200, "too late"});
}

TEST(Http, StartFailsIfTheAddressIsInUse) {
  HttpServer first(MakeOptions(),
                   [](const HttpRequest&, const HttpResponder&) {});
  CHECK(!first.Start());
  HttpServerOptions options = MakeOptions();
  options.listen.port = first.GetPort();
  HttpServer second(options, [](const HttpRequest&, const HttpResponder&) {});
  CHECK(second.Start() == Error::kListenFailed);
}

}  // namespace magnoliareel
