#include "tests/soak/soak_run.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace magnoliareel {
namespace {

// Staleness limit of the routes in SiteServer::PublishConfig().
constexpr Duration kStaleness = std::chrono::milliseconds(1500);
// Three nodes start within this, on a busy machine too.
constexpr Duration kStartLimit = std::chrono::seconds(20);
// From the last fault to the first statement that has to succeed: a node that
// is killed last is ready again, a primary that is lost last is replaced.
constexpr Duration kCalm = std::chrono::seconds(6);
// Every caller has several successes within this.
constexpr Duration kJudged = std::chrono::seconds(3);
// Callers end what they have begun: the longest statement timeout, twice.
constexpr Duration kEndLimit = std::chrono::seconds(2);
constexpr int64_t kProxies = 4;

}  // namespace

SoakRun::SoakRun(EventLoop& loop, const SoakSettings& settings)
    : loop_(loop),
      settings_(settings),
      random_(static_cast<uint64_t>(settings.seed)),
      site_(loop,
            {"127.0.0.1", settings.base_port, settings.base_port + kProxies}),
      connections_(
          loop,
          [&settings] {
            std::vector<SocketAddress> nodes;
            for (int64_t it = 1; it <= settings.nodes; ++it) {
              nodes.push_back({"127.0.0.1", static_cast<uint16_t>(
                                                settings.base_port + 10 * it)});
            }
            return nodes;
          }(),
          [this](uint64_t session, std::string_view line) {
            for (const auto& it : callers_) {
              if (it->GetSession() == session) {
                it->Receive(line);
                return;
              }
            }
          }) {
  for (int64_t it = 0; it < kProxies; ++it) {
    proxies_.push_back(std::make_unique<LinkProxy>(
        loop_, GetAddress(kProxies + it), GetAddress(it)));
  }
  constexpr std::array<const char*, 3> kDatabases = {"entries", "lookups",
                                                     "timesheets"};
  const auto nodes = static_cast<size_t>(settings_.nodes);
  for (size_t it = 0;
       it < nodes * static_cast<size_t>(settings_.callers_per_node); ++it) {
    callers_.push_back(std::make_unique<TrafficCaller<SoakCallers>>(
        connections_, history_, it % nodes, kDatabases[it / nodes % 3],
        random_()));
  }
}

SocketAddress SoakRun::GetAddress(int64_t offset) const {
  return {"127.0.0.1", static_cast<uint16_t>(settings_.base_port + offset)};
}

std::error_code SoakRun::Start() {
  if (const std::error_code ec = site_.Start()) {
    return ec;
  }
  for (const auto& it : proxies_) {
    if (const std::error_code ec = it->Start()) {
      return ec;
    }
  }
  began_at_ = loop_.Now();
  for (size_t it = 0; it < static_cast<size_t>(settings_.nodes); ++it) {
    TellNode("start", it);
  }
  for (const auto& it : callers_) {
    it->Start();
  }
  AwaitCallers();
  return {};
}

void SoakRun::AwaitCallers() {
  const bool all =
      std::all_of(callers_.begin(), callers_.end(),
                  [](const auto& it) { return it->CountSuccesses() > 0; });
  if (all) {
    BeginFaults();
    return;
  }
  if (loop_.Now() - began_at_ > kStartLimit) {
    complaints_.emplace_back("not every caller was served before any fault");
    End();
    return;
  }
  RunLater(loop_, std::chrono::milliseconds(50), [this] { AwaitCallers(); });
}

void SoakRun::BeginFaults() {
  const auto span = static_cast<uint64_t>(settings_.faults_s) * 1000;
  for (int64_t n = 0; n < settings_.faults; ++n) {
    RunLater(loop_, std::chrono::milliseconds(random_() % span),
             [this] { Disturb(); });
  }
  RunLater(loop_, std::chrono::milliseconds(span), [this] { Heal(); });
}

void SoakRun::Disturb() {
  const size_t member = random_() % 3;
  const size_t node = random_() % static_cast<size_t>(settings_.nodes);
  const Duration span = std::chrono::milliseconds(200 + random_() % 2500);
  switch (random_() % 4) {
    case 0:
      DisturbDatabases(member, span);
      return;
    case 1:
      DisturbLinks(GetProxy(member), span);
      return;
    case 2:
      DisturbStore(span);
      return;
    default:
      DisturbNode(node, span);
      return;
  }
}

void SoakRun::DisturbDatabases(size_t member, Duration span) {
  switch (random_() % 4) {
    case 0:
      // At most one is down: an acknowledged commit then stays on one that
      // runs.
      if (!std::exchange(database_down_, true)) {
        Order(random_() % 2 == 0 ? "dark" : "crash", member);
        RunLater(loop_, span, [this, member] {
          Order("restart", member);
          database_down_ = false;
        });
      }
      return;
    case 1:
      Order("drain", member);
      OrderLater(span, "stay", member);
      return;
    case 2:
      Order("lose", 0);
      OrderLater(span, "keep", 0);
      return;
    default:
      Order("slow", 0);
      OrderLater(span, "quick", 0);
      return;
  }
}

void SoakRun::DisturbLinks(LinkProxy& proxy, Duration span) {
  LinkTrouble trouble;
  trouble.connections = 1 + static_cast<uint32_t>(random_() % 15);
  switch (random_() % 4) {
    case 0:
      trouble.delay = std::chrono::milliseconds(20 + random_() % 400);
      break;
    case 1:
      trouble.drops_requests = true;
      break;
    case 2:
      trouble.drops_answers = true;
      break;
    default:
      proxy.Reset(trouble.connections);
      return;
  }
  proxy.SetTrouble(trouble);
  RunLater(loop_, span, [this, &proxy, trouble] {
    proxy.SetTrouble({});
    // What was dropped is missing for good, so the connection cannot go on.
    if (trouble.drops_requests || trouble.drops_answers) {
      proxy.Reset(trouble.connections);
    }
  });
}

void SoakRun::DisturbStore(Duration span) {
  switch (random_() % 4) {
    case 0:
      Order("down", 0);
      OrderLater(span, "up", 0);
      return;
    case 1:
      Order("forget", 0);
      return;
    case 2:
      Order("config", 0);
      return;
    default:
      DisturbLinks(*proxies_.front(), span);
      return;
  }
}

void SoakRun::DisturbNode(size_t node, Duration span) {
  switch (random_() % 4) {
    case 0:
      TellNode("pause", node);
      RunLater(loop_, span, [this, node] { TellNode("continue", node); });
      return;
    case 1:
      TellNode("kill", node);
      RunLater(loop_, span / 4, [this, node] { TellNode("start", node); });
      return;
    case 2:
      TellNode("stop", node);
      RunLater(loop_, span, [this, node] { TellNode("start", node); });
      return;
    default:
      TellNode("reload", node);
      return;
  }
}

void SoakRun::Order(std::string_view fault, size_t member) {
  const std::string name = std::string(fault) + "-" + std::to_string(member);
  if (!site_.InjectFault(name)) {
    complaints_.push_back("the site knows no fault " + name);
  }
}

void SoakRun::OrderLater(Duration pause, std::string fault, size_t member) {
  RunLater(loop_, pause,
           [this, fault = std::move(fault), member] { Order(fault, member); });
}

void SoakRun::TellNode(std::string_view action, size_t node) const {
  std::printf("%s %zu\n", std::string(action).c_str(), node + 1);
  std::fflush(stdout);
}

void SoakRun::Heal() {
  if (std::exchange(healed_, true)) {
    return;
  }
  for (const char* it : {"up", "keep", "quick"}) {
    Order(it, 0);
  }
  for (size_t it = 0; it < 3; ++it) {
    Order("restart", it);
    Order("stay", it);
  }
  for (const auto& it : proxies_) {
    it->SetTrouble({});
    it->Reset(0xf);
  }
  for (size_t it = 0; it < static_cast<size_t>(settings_.nodes); ++it) {
    TellNode("continue", it);
    TellNode("start", it);
  }
  RunLater(loop_, kCalm, [this] { BeginCalm(); });
}

void SoakRun::BeginCalm() {
  for (const auto& it : callers_) {
    it->TakeSuccesses();
  }
  RunLater(loop_, kJudged, [this] {
    for (const auto& it : callers_) {
      if (it->TakeSuccesses() == 0) {
        complaints_.push_back("node " + std::to_string(it->GetVm() + 1) +
                              " did not serve a caller after the faults");
      }
      it->Stop();
    }
    RunLater(loop_, kEndLimit, [this] { End(); });
  });
}

void SoakRun::End() {
  loop_.Stop();
}

std::vector<std::string> SoakRun::Check() const {
  const GroupModel& group = site_.GetGroup();
  size_t leader = 0;
  for (size_t it = 0; it < group.CountMembers(); ++it) {
    if (group.HasPrimaryRole(it)) {
      leader = it;
    }
  }
  std::vector<std::string> broken =
      CheckTraffic(history_, group, leader, kStaleness);
  broken.insert(broken.end(), complaints_.begin(), complaints_.end());
  return broken;
}

}  // namespace magnoliareel
