#include "net/net.h"

#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

// The tests use the loopback interface only.
constexpr uint16_t kHttpPort = 24101;
constexpr uint16_t kUnresponsivePort = 24102;

}  // namespace

TEST_GROUP(Loop){};

TEST(Loop, TimersNeverFireEarly) {
  // Guards against a timer that fires a fraction of a millisecond early: its
  // task found nothing due and did not restart the timer, so that an endpoint
  // stayed in use forever.
  EventLoop loop;
  int fired = 0;
  int early = 0;
  TimePoint due;
  std::unique_ptr<LoopTimer> timer;
  timer = std::make_unique<LoopTimer>(loop, [&] {
    early += loop.Now() < due ? 1 : 0;
    if (++fired == 60) {
      loop.Stop();
      return;
    }
    const Duration delay(1000 + 137 * (fired % 11));
    due = loop.Now() + delay;
    timer->StartOnce(delay);
  });
  due = loop.Now() + Duration(1500);
  timer->StartOnce(Duration(1500));
  loop.Run();
  timer.reset();
  LONGS_EQUAL(60, fired);
  LONGS_EQUAL(0, early);
}

TEST(Loop, MailboxDeliversValuesFromAnotherThreadInOrder) {
  EventLoop loop;
  std::vector<int> received;
  Mailbox<int> mailbox(loop, [&](int n) {
    received.push_back(n);
    if (received.size() == 100) {
      loop.Stop();
    }
  });
  std::thread sender([&] {
    for (int n = 0; n < 100; ++n) {
      mailbox.Post(n);
    }
  });
  loop.Run();
  sender.join();
  for (int n = 0; n < 100; ++n) {
    LONGS_EQUAL(n, received[static_cast<size_t>(n)]);
  }
}

TEST_GROUP(NetHttp){};

TEST(NetHttp, RepliesSynchronouslyAndLater) {
  EventLoop loop;
  std::unique_ptr<LoopTimer> later;
  net::HttpListener listener(
      loop, [&](const net::Request& request,
                const net::HttpListener::Answer& answer) {
        std::string token;
        for (const auto& [name, value] : request.headers) {
          token = name == "Token" ? value : token;
        }
        if (request.target == "/now") {
          answer({200, request.method + request.body + token});
          return;
        }
        later = std::make_unique<LoopTimer>(loop, [answer] {
          answer({201, "later"});
        });
        later->StartOnce(Duration(5000));
      });
  const SocketAddress address{"127.0.0.1", kHttpPort};
  CHECK(!listener.Listen(address));
  net::HttpConnection connection(loop, address);
  std::vector<std::string> answers;
  const auto record = [&](std::error_code ec, const net::Reply& reply) {
    answers.push_back(ec ? ec.message()
                         : std::to_string(reply.status) + reply.body);
    if (answers.size() == 3) {
      loop.Stop();
    }
  };
  const Duration timeout = std::chrono::seconds(5);
  connection.Call({"POST", "/now", {{"Token", "7"}}, "body"}, timeout, record);
  connection.Call({"GET", "/later", {}, {}}, timeout, record);
  connection.Call({"GET", "/now", {}, {}}, timeout, record);
  loop.Run();
  STRCMP_EQUAL("200POSTbody7", answers[0].c_str());
  STRCMP_EQUAL("201later", answers[1].c_str());
  STRCMP_EQUAL("200GET", answers[2].c_str());
  later.reset();
}

TEST(NetHttp, DistinguishesLostRepliesFromUnsentRequests) {
  EventLoop loop;
  std::vector<Stream> accepted;
  StreamListener unresponsive(
      loop, [&](Stream stream) { accepted.push_back(std::move(stream)); });
  CHECK(!unresponsive.Listen({"127.0.0.1", kUnresponsivePort}));
  net::HttpConnection lost(loop, {"127.0.0.1", kUnresponsivePort});
  net::HttpConnection refused(loop, {"127.0.0.1", 1});
  std::error_code lost_code;
  std::error_code refused_code;
  lost.Call({"POST", "/", {}, "x"}, std::chrono::milliseconds(80),
            [&](std::error_code ec, const net::Reply&) {
              lost_code = ec;
              loop.Stop();
            });
  refused.Call(
      {"POST", "/", {}, "x"}, std::chrono::seconds(5),
      [&](std::error_code ec, const net::Reply&) { refused_code = ec; });
  loop.Run();
  CHECK(lost_code == Error::kAnswerLost);
  CHECK(refused_code == Error::kUnreachable);
  accepted.clear();
}

}  // namespace magnoliareel
