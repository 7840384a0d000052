// Stand-in of a small site with one service: the platform's store and three
// databases, as the project's own stand-in has them, in two regions. The entry
// of a database that is lost expires.
//
//   small-site PORT    store on 127.0.0.1:PORT, databases on the next three
//
// POST /fault/gone   database 1 is lost for good, and its entry 3.6 s later
// GET /executed      the statements that the databases have run

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/net.h"
#include "standins/group/group_model.h"
#include "standins/site/store_model.h"

namespace magnoliareel {
namespace {

GroupOptions MakeOptions() {
  GroupOptions options;
  options.mean_apply_delay = std::chrono::milliseconds(20);
  options.promotion_delay = std::chrono::milliseconds(1000);
  return options;
}

class Site {
 public:
  Site(EventLoop& loop, uint16_t port)
      : loop_(loop),
        port_(port),
        group_(
            MakeOptions(),
            [this](uint64_t id, const std::string& bytes) { Send(id, bytes); },
            [this](Duration pause, std::function<void()> task) {
              RunLater(loop_, pause, [this, task = std::move(task)] {
                group_.SetNow(loop_.Now());
                task();
              });
            }),
        http_(loop,
              [this](const net::Request& request,
                     const net::HttpListener::Answer& answer) {
                HandleRequest(request, answer);
              }),
        publish_timer_(loop, [this] { Publish(); }) {}

  std::error_code Start() {
    if (const auto ec = http_.Listen({"127.0.0.1", port_}))
      return ec;
    store_.Put(
        "op", "config",
        R"({"version":1,"routes":[{"name":"entries","host":"entries",)"
        R"("kind":"primary","service":"groyne-logs","timeout-ms":3000,)"
        R"("target-latency-ms":800,"priority":1},{"name":"lookups",)"
        R"("host":"lookups","kind":"bounded","service":"groyne-logs",)"
        R"("timeout-ms":3000,"target-latency-ms":1200,"priority":2,)"
        R"("max-staleness-ms":1500}],"services":[{"name":"groyne-logs",)"
        R"("max-conns":32,"sync-replicas":1}],"limits":{"tx-idle-ms":10000}})");
    for (size_t it = 0; it < group_.CountMembers(); ++it) {
      databases_.push_back(std::make_unique<StreamListener>(
          loop_, [this, it](Stream stream) { Accept(it, std::move(stream)); }));
      if (const auto ec = databases_.back()->Listen({"127.0.0.1", Port(it)})) {
        return ec;
      }
    }
    Publish();
    publish_timer_.StartRepeating(std::chrono::milliseconds(100));
    return {};
  }

 private:
  struct Connection {
    Site* owner = nullptr;
    uint64_t id = 0;
    Stream stream;

    void HandleOpened() {}
    void HandleBytes(std::string_view bytes) {
      owner->group_.SetNow(owner->loop_.Now());
      owner->group_.Receive(id, bytes);
    }
    void HandleClosed(std::error_code) {
      Site& site = *owner;
      site.group_.Close(id);
      site.connections_.erase(id);
    }
  };

  uint16_t Port(size_t member) const {
    return static_cast<uint16_t>(port_ + 1 + member);
  }

  void Send(uint64_t id, const std::string& bytes) {
    const auto it = connections_.find(id);
    if (it == connections_.end())
      return;
    if (!bytes.empty()) {
      it->second->stream.Append(bytes);
      it->second->stream.Flush();
      return;
    }
    it->second->stream.Close();
    closing_.push_back(std::move(it->second));
    connections_.erase(it);
    loop_.Defer([this] { closing_.clear(); });
  }

  void Accept(size_t member, Stream stream) {
    auto connection = std::make_unique<Connection>();
    Connection& it = *connection;
    it.owner = this;
    it.id = ++last_id_;
    it.stream = std::move(stream);
    connections_.emplace(it.id, std::move(connection));
    it.stream.Serve(it);
    group_.SetNow(loop_.Now());
    group_.Open(member, it.id);
  }

  void HandleRequest(const net::Request& request,
                     const net::HttpListener::Answer& answer) {
    group_.SetNow(loop_.Now());
    if (request.target == "/promote") {
      HandlePromotion(request, answer);
    } else if (request.target == "/fault/gone") {
      group_.Crash(0, false);
      RunLater(loop_, std::chrono::milliseconds(3600),
               [this] { store_.Remove("servers", group_.GetId(0)); });
      answer({200, {}});
    } else if (request.target == "/executed") {
      std::string text;
      for (const ExecutedStatement& it : group_.GetExecutedStatements()) {
        text += "database " + it.endpoint + " ran " + it.request + " " +
                it.text + " at log " + std::to_string(it.log.term.value) + "." +
                std::to_string(it.log.position.value) + "\n";
      }
      answer({200, text});
    } else {
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
  }

  void HandlePromotion(const net::Request& request,
                       const net::HttpListener::Answer& answer) {
    uint64_t token = 0;
    for (const auto& [name, value] : request.headers) {
      if (name == "Fencing-Token") {
        token = std::strtoull(value.c_str(), nullptr, 10);
      }
    }
    for (size_t it = 0; it < group_.CountMembers(); ++it) {
      const std::string& id = group_.GetId(it);
      if (request.body.find('"' + id + '"') != std::string::npos) {
        answer({group_.Promote(id, token), {}});
        return;
      }
    }
    answer({409, {}});
  }

  void Publish() {
    for (size_t it = 0; it < group_.CountMembers(); ++it) {
      if (!group_.IsRunning(it)) {
        continue;
      }
      std::string value =
          R"({"service":"groyne-logs","address":"127.0.0.1:)" +
          std::to_string(Port(it)) + R"(","zone":"site-)" +
          std::to_string(it + 1) +
          R"(","version":"v1","capacity":5,"warmup-left-ms":0,"sequence":1,)"
          R"("born":1700000000000,"state":"ready","db-role":")" +
          (group_.HasPrimaryRole(it) ? "primary" : "replica") + "\"}";
      if (published_[it] != value) {
        published_[it] = value;
        store_.Put("servers", group_.GetId(it), std::move(value));
      }
    }
  }

  EventLoop& loop_;
  const uint16_t port_;
  StoreModel store_;
  GroupModel group_;
  net::HttpListener http_;
  LoopTimer publish_timer_;
  std::vector<std::unique_ptr<StreamListener>> databases_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closing_;
  std::map<size_t, std::string> published_;
  uint64_t last_id_ = 0;
};

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  using namespace magnoliareel;
  if (argc != 2) {
    std::fprintf(stderr, "usage: see the head of the source\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  Site site(loop, static_cast<uint16_t>(std::atoi(argv[1])));
  if (const auto ec = site.Start()) {
    std::fprintf(stderr, "cannot listen: %s\n", ec.message().c_str());
    return 2;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
