#include "net/net.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

// The tests use the loopback interface only.
constexpr uint16_t kHttpPort = 24101;
constexpr uint16_t kUnresponsivePort = 24102;
constexpr uint16_t kStreamPort = 24103;

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

namespace {

/** Counts the bytes that it receives and stops the loop at the end. */
struct ByteCounter {
  explicit ByteCounter(EventLoop& owner) : loop(owner) {}
  void HandleOpened() {}
  void HandleBytes(std::string_view bytes) { count += bytes.size(); }
  void HandleClosed(std::error_code ec) {
    end = ec;
    loop.Stop();
  }

  EventLoop& loop;
  size_t count = 0;
  std::error_code end;
};

/** Keeps a stream whose end it does not wait for. */
struct StreamOwner {
  void HandleOpened() {}
  void HandleBytes(std::string_view) {}
  void HandleClosed(std::error_code ec) {
    ended = true;
    end = ec;
  }

  Stream stream;
  bool ended = false;
  std::error_code end;
};

}  // namespace

TEST_GROUP(Streams){};

TEST(Streams, SendAllBytesBeforeTheyAreClosed) {
  // Guards against answers that are cut off when a session is closed behind
  // them, because the kernel had not accepted their end (LOST in review/5).
  constexpr size_t kAnswerBytes = 32 * 1024 * 1024;  // more than any buffer
  EventLoop loop;
  StreamOwner server;
  bool has_unsent = false;
  StreamListener listener(loop, [&](Stream stream) {
    server.stream = std::move(stream);
    server.stream.Serve(server);
    server.stream.Append(std::string(kAnswerBytes, 'x'));
    has_unsent = server.stream.CloseWhenSent();
  });
  const SocketAddress address{"127.0.0.1", kStreamPort};
  CHECK(!listener.Listen(address));
  ByteCounter counter(loop);
  Stream client;
  client.Connect(loop, address, counter);
  loop.Run();
  CHECK(has_unsent);
  LONGS_EQUAL(kAnswerBytes, counter.count);
  CHECK(counter.end == Error::kPeerClosed);
  CHECK(server.ended && !server.end);
  CHECK(!server.stream.IsOpen());
}

TEST(Streams, WithoutUnsentBytesAreClosedAtOnce) {
  EventLoop loop;
  StreamOwner server;
  bool has_unsent = true;
  StreamListener listener(loop, [&](Stream stream) {
    server.stream = std::move(stream);
    server.stream.Serve(server);
    server.stream.Append("answer");
    has_unsent = server.stream.CloseWhenSent();
  });
  const SocketAddress address{"127.0.0.1", kStreamPort};
  CHECK(!listener.Listen(address));
  ByteCounter counter(loop);
  Stream client;
  client.Connect(loop, address, counter);
  loop.Run();
  CHECK(!has_unsent && !server.ended);
  LONGS_EQUAL(6, counter.count);
}

TEST(Streams, EndIfThePeerIsLostBeforeAllBytesAreSent) {
  EventLoop loop;
  StreamOwner server;
  Stream client;
  ByteCounter counter(loop);
  StreamListener listener(loop, [&](Stream stream) {
    server.stream = std::move(stream);
    server.stream.Serve(server);
    server.stream.Append(std::string(32 * 1024 * 1024, 'x'));
    CHECK(server.stream.CloseWhenSent());
    client.Close();
  });
  const SocketAddress address{"127.0.0.1", kStreamPort};
  CHECK(!listener.Listen(address));
  client.Connect(loop, address, counter);
  LoopTimer timer(loop, [&] {
    if (server.ended) {
      loop.Stop();
    }
  });
  timer.StartRepeating(std::chrono::milliseconds(10));
  loop.Run();
  CHECK(static_cast<bool>(server.end));
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

TEST(NetHttp, SendsALongReplyBeforeItClosesTheConnection) {
  // Guards against a reply that is cut off where the client asks for the end of
  // the connection; the same cause as in SendAllBytesBeforeTheyAreClosed.
  constexpr size_t kReplyBytes = 32 * 1024 * 1024;
  EventLoop loop;
  net::HttpListener listener(
      loop, [&](const net::Request&, const net::HttpListener::Answer& answer) {
        answer({200, std::string(kReplyBytes, 'x')});
      });
  const SocketAddress address{"127.0.0.1", kHttpPort};
  CHECK(!listener.Listen(address));
  ByteCounter counter(loop);
  Stream client;
  client.Connect(loop, address, counter);
  client.Append("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  LoopTimer timer(loop, [&] { client.Flush(); });
  timer.StartOnce(std::chrono::milliseconds(20));
  loop.Run();
  CHECK(counter.count > kReplyBytes);
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

namespace {

/** Sends bytes to a listener and collects what it answers. */
struct RawClient {
  Stream stream;
  std::string to_send;
  std::string received;
  std::function<void()> on_change;
  bool closed = false;

  void HandleOpened() {
    stream.GetBuffer().append(to_send);
    stream.Flush();
  }
  void HandleBytes(std::string_view bytes) {
    received.append(bytes);
    on_change();
  }
  void HandleClosed(std::error_code) {
    closed = true;
    on_change();
  }
};

/** Answers each request, but closes the connection of the second one. */
struct ServerThatClosesOnce {
  struct Peer {
    ServerThatClosesOnce* owner = nullptr;
    Stream stream;

    void HandleOpened() {}
    void HandleBytes(std::string_view) {
      if (++owner->request_count == 2) {
        stream.Close();
        return;
      }
      stream.GetBuffer().append(
          "HTTP/1.1 200 -\r\nStore-Era: 7\r\nContent-Length: 0\r\n\r\n");
      stream.Flush();
    }
    void HandleClosed(std::error_code) {}
  };

  explicit ServerThatClosesOnce(EventLoop& loop)
      : listener(loop, [this](Stream stream) {
          Peer& peer = *peers.emplace_back(std::make_unique<Peer>());
          peer.owner = this;
          peer.stream = std::move(stream);
          peer.stream.Serve(peer);
        }) {}

  std::vector<std::unique_ptr<Peer>> peers;
  int request_count = 0;
  StreamListener listener;
};

size_t CountReplies(std::string_view text) {
  size_t n = 0;
  for (size_t at = text.find("HTTP/1.1 "); at != std::string_view::npos;
       at = text.find("HTTP/1.1 ", at + 1)) {
    ++n;
  }
  return n;
}

}  // namespace

TEST(NetHttp, AnswersARequestThatWasPipelinedBehindASlowOne) {
  // The second request used to wait until the client sent further bytes.
  EventLoop loop;
  std::vector<std::unique_ptr<LoopTimer>> timers;
  net::HttpListener listener(
      loop, [&](const net::Request&, const net::HttpListener::Answer& answer) {
        timers.push_back(std::make_unique<LoopTimer>(loop, [answer] {
          answer({200, "slow"});
        }));
        timers.back()->StartOnce(Duration(3000));
      });
  const SocketAddress address{"127.0.0.1", kHttpPort};
  CHECK(!listener.Listen(address));
  RawClient client;
  client.to_send = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
  client.on_change = [&] {
    if (CountReplies(client.received) == 2) {
      loop.Stop();
    }
  };
  client.stream.Connect(loop, address, client);
  LoopTimer limit(loop, [&] { loop.Stop(); });
  limit.StartOnce(std::chrono::seconds(2));
  loop.Run();
  LONGS_EQUAL(2, CountReplies(client.received));
  timers.clear();
}

TEST(NetHttp, RepeatsAGetOnANewConnectionOnlyIfAllowed) {
  // Guards against a poll that is repeated unnoticed in a store that was
  // restored from a copy, where it waits for changes that it has missed.
  for (const bool is_allowed : {false, true}) {
    EventLoop loop;
    ServerThatClosesOnce server(loop);
    const SocketAddress address{"127.0.0.1", kHttpPort};
    CHECK(!server.listener.Listen(address));
    net::HttpConnection connection(loop, address);
    std::error_code code;
    std::string era;
    const auto finish = [&](std::error_code ec, const net::Reply& reply) {
      code = ec;
      for (const auto& [name, value] : reply.headers) {
        era = name == "Store-Era" ? value : era;
      }
      loop.Stop();
    };
    const Duration timeout = std::chrono::seconds(2);
    connection.Call({"GET", "/", {}, {}}, timeout, finish);
    loop.Run();
    CHECK(!code);
    STRCMP_EQUAL("7", era.c_str());
    connection.Call({"GET", "/", {}, {}, is_allowed}, timeout, finish);
    loop.Run();
    CHECK(is_allowed ? !code : code == Error::kAnswerLost);
    LONGS_EQUAL(is_allowed ? 3 : 2, server.request_count);
  }
}

TEST(NetHttp, KeepsTheNameOfAHeaderWithoutAValue) {
  // The name of the next header used to be appended to it.
  EventLoop loop;
  std::string names;
  net::HttpListener listener(
      loop, [&](const net::Request& request,
                const net::HttpListener::Answer& answer) {
        for (const auto& [name, value] : request.headers) {
          names += name + "=" + value + ";";
        }
        answer({200, ""});
      });
  const SocketAddress address{"127.0.0.1", kHttpPort};
  CHECK(!listener.Listen(address));
  RawClient client;
  client.to_send = "GET / HTTP/1.1\r\nEmpty:\r\nToken: 7\r\n\r\n";
  client.on_change = [&] { loop.Stop(); };
  client.stream.Connect(loop, address, client);
  loop.Run();
  STRCMP_EQUAL("Empty=;Token=7;", names.c_str());
}

TEST(NetHttp, ForgetsConnectionsThatItClosesBehindALateReply) {
  // A listener that keeps them refuses all connections, the readiness probe's
  // too, once it has reached its limit of 64.
  EventLoop loop;
  std::vector<std::unique_ptr<LoopTimer>> timers;
  net::HttpListener listener(
      loop, [&](const net::Request&, const net::HttpListener::Answer& answer) {
        timers.push_back(std::make_unique<LoopTimer>(loop, [answer] {
          answer({200, "late"});
        }));
        timers.back()->StartOnce(Duration(100));
      });
  const SocketAddress address{"127.0.0.1", kHttpPort};
  CHECK(!listener.Listen(address));
  constexpr int kCalls = 70;
  int answered = 0;
  std::unique_ptr<RawClient> client;
  std::function<void()> start_next = [&] {
    client = std::make_unique<RawClient>();
    client->to_send = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    client->on_change = [&] {
      if (!client->closed) {
        return;
      }
      answered += static_cast<int>(CountReplies(client->received));
      timers.push_back(std::make_unique<LoopTimer>(loop, start_next));
      timers.back()->StartOnce(Duration(0));
    };
    if (answered == kCalls) {
      loop.Stop();
      return;
    }
    client->stream.Connect(loop, address, *client);
  };
  start_next();
  LoopTimer limit(loop, [&] { loop.Stop(); });
  limit.StartOnce(std::chrono::seconds(5));
  loop.Run();
  LONGS_EQUAL(kCalls, answered);
  timers.clear();
}

}  // namespace magnoliareel
