// Stand-ins of a small site whose reads return many rows: the platform's store,
// one primary and one replica, and callers that read at a steady rate.
//
//   large-answers site PORT RECORD    store on 127.0.0.1:PORT, databases on the
//                                     next two ports
//   large-answers callers ADDRESS:PORT RECORD SECONDS
//
// Every read is answered with kRows rows of kRowBytes bytes; a message may have
// up to 1 MiB, and an answer any number of rows. Each caller takes up to
// kReadBytes every kReadPause, as behind a line of 30 Mbit/s. It exits with 1
// if a connection ended inside an answer.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "net/net.h"
#include "standins/site/store_model.h"

namespace magnoliareel {
namespace {

constexpr size_t kRows = 9;
constexpr size_t kRowBytes = 800'000;
constexpr size_t kReadBytes = 64 * 1024;
constexpr auto kReadPause = std::chrono::milliseconds(15);
constexpr int kCallers = 8;
constexpr auto kStagger = std::chrono::milliseconds(200);
constexpr std::string_view kService = "groyne-logs";

/** The store and two databases. */
class Site {
 public:
  Site(EventLoop& loop, uint16_t port, std::FILE* record)
      : loop_(loop),
        record_(record),
        port_(port),
        http_(loop,
              [this](const net::Request& request,
                     const net::HttpListener::Answer& answer) {
                HandleRequest(request, answer);
              }) {}

  std::error_code Start() {
    if (const auto ec = http_.Listen({"127.0.0.1", port_}))
      return ec;
    store_.Put("op", "config",
               R"({"version":1,"routes":[{"name":"entries","host":"entries",)"
               R"("kind":"primary","service":"groyne-logs","timeout-ms":8000,)"
               R"("target-latency-ms":2000,"priority":1}],"services":[)"
               R"({"name":"groyne-logs","max-conns":32,"sync-replicas":1}],)"
               R"("limits":{"tx-idle-ms":3000}})");
    for (int it = 0; it < 2; ++it) {
      databases_.push_back(std::make_unique<StreamListener>(
          loop_, [this, it](Stream stream) { Accept(it, std::move(stream)); }));
      const auto port = static_cast<uint16_t>(port_ + 1 + it);
      if (const auto ec = databases_.back()->Listen({"127.0.0.1", port})) {
        return ec;
      }
      store_.Put("servers", GetId(it),
                 R"({"service":"groyne-logs","address":"127.0.0.1:)" +
                     std::to_string(port) +
                     R"(","zone":"site-1","version":"v1","capacity":5,)"
                     R"("state":"ready","warmup-left-ms":0,"sequence":1,)"
                     R"("born":1700000000000,"db-role":")" +
                     (it == 0 ? "primary" : "replica") + "\"}");
    }
    return {};
  }

 private:
  struct Connection {
    Site* owner = nullptr;
    int member = 0;
    uint64_t id = 0;
    bool open = false;
    char status = 'I';
    std::string input;
    Stream stream;

    void HandleOpened() {}
    void HandleBytes(std::string_view bytes) {
      input.append(bytes);
      for (size_t end = input.find("\r\n"); end != std::string::npos;
           end = input.find("\r\n")) {
        const std::string line = input.substr(0, end);
        input.erase(0, end + 2);
        HandleLine(line);
      }
      stream.Flush();
    }
    void HandleClosed(std::error_code) { owner->connections_.erase(id); }

    void HandleLine(std::string_view line) {
      const bool primary = member == 0;
      std::string& out = stream.GetBuffer();
      std::string_view rest = line;
      const auto take = [&rest] {
        const size_t n = std::min(rest.find(' '), rest.size());
        const std::string_view field = rest.substr(0, n);
        rest.remove_prefix(std::min(n + 1, rest.size()));
        return field;
      };
      const std::string_view word = take();
      if (word == "STARTUP") {
        out += take() == kService ? "" : "ERROR MISROUTED service\r\n";
        out += Ready();
        return;
      }
      if (word != "QUERY")
        return;
      const std::string request(take());
      std::string_view verb = take();
      if (verb == "AFTER") {
        take();
        verb = take();
      }
      if (verb == "BEGIN" && rest.empty() && !primary) {
        out += "ERROR READONLY replica\r\n";
      } else if (verb == "STATUS") {
        out += primary ? "ROW primary 1 1.0 0 0 0 1\r\nCOMPLETE -\r\n"
                       : "ROW replica 1 1.0 0 0 0 1\r\nCOMPLETE -\r\n";
      } else if (verb == "READ") {
        for (size_t it = 0; it < kRows; ++it) {
          out += "ROW " + std::string(kRowBytes, 'a' + static_cast<char>(it)) +
                 "\r\n";
        }
        out += "COMPLETE proof-" + request + "\r\n";
        std::fprintf(owner->record_, "database %s ran %s\n",
                     GetId(member).c_str(), request.c_str());
        std::fflush(owner->record_);
      } else {
        if (verb == "BEGIN")
          status = 'T';
        if (verb == "ROLLBACK" || verb == "COMMIT")
          status = 'I';
        out += "COMPLETE -\r\n";
      }
      out += Ready();
    }
    std::string Ready() const {
      return std::string("READY ") + status + " 1.0\r\n";
    }
  };

  static std::string GetId(int member) {
    return "i-" + std::to_string(member + 1);
  }

  void HandleRequest(const net::Request& request,
                     const net::HttpListener::Answer& answer) {
    if (request.target == "/promote") {
      answer({200, {}});
      return;
    }
    const uint64_t poll =
        store_.Handle(request.method, request.target, request.body,
                      [answer](int status, const std::string& body) {
                        answer({status, body});
                      });
    if (poll != 0) {
      RunLater(loop_,
               std::chrono::milliseconds(
                   StoreModel::GetPollTimeoutMs(request.target)),
               [this, poll] { store_.AnswerPendingPoll(poll); });
    }
  }

  void Accept(int member, Stream stream) {
    auto connection = std::make_unique<Connection>();
    Connection& it = *connection;
    it.owner = this;
    it.member = member;
    it.id = ++last_id_;
    it.stream = std::move(stream);
    connections_.emplace(it.id, std::move(connection));
    it.stream.Serve(it);
  }

  EventLoop& loop_;
  std::FILE* const record_;
  const uint16_t port_;
  StoreModel store_;
  net::HttpListener http_;
  std::vector<std::unique_ptr<StreamListener>> databases_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  uint64_t last_id_ = 0;
};

/** Callers that read one item after another. */
class Callers {
 public:
  Callers(sockaddr_in node, std::FILE* record, double seconds)
      : node_(node),
        record_(record),
        began_(std::chrono::steady_clock::now()),
        seconds_(seconds) {}

  /** @returns the number of connections that ended inside an answer */
  int Run() {
    std::vector<std::thread> threads;
    threads.reserve(kCallers);
    for (int it = 0; it < kCallers; ++it) {
      threads.emplace_back([this, it] {
        std::this_thread::sleep_for(kStagger * it);
        RunCaller(it);
      });
    }
    for (std::thread& it : threads)
      it.join();
    std::fprintf(record_, "whole answers: %d, cut answers: %d\n", whole_.load(),
                 cut_.load());
    return whole_ == 0 ? -1 : cut_.load();
  }

 private:
  double Elapsed() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         began_)
        .count();
  }

  void Log(int caller, const std::string& text) {
    const std::lock_guard lock(mutex_);
    std::fprintf(record_, "%7.3f s caller %d: %s\n", Elapsed(), caller,
                 text.c_str());
    std::fflush(record_);
  }

  /** Reads until READY; returns the bytes read, and whether it came. */
  std::pair<size_t, bool> ReadAnswer(int fd) {
    std::string tail;
    size_t n = 0;
    std::vector<char> buf(kReadBytes);
    while (true) {
      const ssize_t got = recv(fd, buf.data(), buf.size(), 0);
      if (got <= 0)
        return {n, false};
      n += static_cast<size_t>(got);
      tail.append(buf.data(), static_cast<size_t>(got));
      tail.erase(0, tail.size() - std::min<size_t>(tail.size(), 64));
      if (tail.ends_with("\r\n") &&
          (tail.starts_with("READY ") ||
           tail.find("\r\nREADY ") != std::string::npos)) {
        return {n, true};
      }
      std::this_thread::sleep_for(kReadPause);
    }
  }

  void RunCaller(int caller) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&node_), sizeof node_) !=
        0) {
      Log(caller, "cannot connect");
      close(fd);
      return;
    }
    const std::string startup = "STARTUP entries crew\r\n";
    send(fd, startup.data(), startup.size(), MSG_NOSIGNAL);
    if (!ReadAnswer(fd).second) {
      Log(caller, "the session was not opened");
      close(fd);
      return;
    }
    for (int n = 1; Elapsed() < seconds_; ++n) {
      const std::string id =
          "c" + std::to_string(caller) + "-" + std::to_string(n);
      const std::string query = "QUERY " + id + " READ groyne-12\r\n";
      Log(caller, "sent " + id);
      if (send(fd, query.data(), query.size(), MSG_NOSIGNAL) !=
          static_cast<ssize_t>(query.size())) {
        Log(caller, "the connection had ended before " + id + " was sent");
        break;
      }
      const auto [bytes, whole] = ReadAnswer(fd);
      if (whole) {
        ++whole_;
        Log(caller, "answered " + id + " with " + std::to_string(bytes) +
                        " bytes, whole");
        continue;
      }
      if (bytes > 0) {
        ++cut_;
        Log(caller, "ENDED INSIDE THE ANSWER to " + id + " after " +
                        std::to_string(bytes) + " bytes");
      } else {
        Log(caller, "the connection ended before an answer to " + id);
      }
      break;
    }
    close(fd);
  }

  const sockaddr_in node_;
  std::FILE* const record_;
  const std::chrono::steady_clock::time_point began_;
  const double seconds_;
  std::mutex mutex_;
  std::atomic<int> whole_ = 0;
  std::atomic<int> cut_ = 0;
};

int RunSite(uint16_t port, const char* path) {
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  std::FILE* record = std::fopen(path, "a");
  if (record == nullptr)
    return 2;
  Site site(loop, port, record);
  if (const auto ec = site.Start()) {
    std::fprintf(stderr, "cannot listen: %s\n", ec.message().c_str());
    return 2;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

int RunCallers(const char* address, const char* path, double seconds) {
  SocketAddress node;
  std::FILE* record = std::fopen(path, "a");
  if (record == nullptr || !ParseSocketAddress(address, node))
    return 2;
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(node.port);
  inet_pton(AF_INET, node.host.c_str(), &addr.sin_addr);
  const int cut = Callers(addr, record, seconds).Run();
  std::fclose(record);
  return cut < 0 ? 2 : cut > 0 ? 1 : 0;
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  if (argc == 4 && std::strcmp(argv[1], "site") == 0) {
    return magnoliareel::RunSite(static_cast<uint16_t>(std::atoi(argv[2])),
                                 argv[3]);
  }
  if (argc == 5 && std::strcmp(argv[1], "callers") == 0) {
    return magnoliareel::RunCallers(argv[2], argv[3], std::atof(argv[4]));
  }
  std::fprintf(stderr, "usage: see the head of the source\n");
  return 2;
}
