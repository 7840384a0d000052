/** @file
    @brief Runs one crowd of hostile connections against a node and checks that
   the node lives, stays within its limits and answers an ordinary request
   afterwards. Run by tests/hostile/hostile-crowd.
*/
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "process/process.h"
#include "settings/settings.h"
#include "tests/hostile/hostile_crowd.h"

namespace magnoliareel {
namespace {

constexpr int kExitFailed = 1;
// Within this time one of the repeated requests must be answered. Far above
// what a loaded machine needs; it decides nothing but when to give up.
constexpr auto kAnswerDeadline = std::chrono::seconds(60);
constexpr int kAnswerTimeoutSeconds = 10;

struct DriverSettings {
  std::string kind;
  bool is_peer = false;
  SocketAddress callers;
  SocketAddress peers;
  int64_t node_pid = 0;
};

/** What the kernel reports of a process. */
struct ProcessUsage {
  /** Peak of the resident memory; 0 if the process has ended. */
  uint64_t peak_kib = 0;
  size_t descriptors = 0;
};

ProcessUsage ReadUsage(int64_t pid) {
  ProcessUsage out;
  const std::string dir = "/proc/" + std::to_string(pid);
  std::ifstream file(dir + "/status");
  for (std::string word; file >> word;) {
    if (word == "VmHWM:") {
      file >> out.peak_kib;
      break;
    }
  }
  std::error_code ec;
  for (auto it = std::filesystem::directory_iterator(dir + "/fd", ec);
       !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
    ++out.descriptors;
  }
  return out;
}

/** A session that sends one statement and waits for its answer. */
class OrdinaryCaller {
 public:
  explicit OrdinaryCaller(const SocketAddress& address) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{kAnswerTimeoutSeconds, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr);
    connect(fd_, reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
  }
  ~OrdinaryCaller() { close(fd_); }
  OrdinaryCaller(const OrdinaryCaller&) = delete;
  OrdinaryCaller& operator=(const OrdinaryCaller&) = delete;

  /** @returns whether the line was answered with an end of an answer that
               contains `expected` */
  bool Exchange(std::string line, std::string_view expected) {
    line += "\r\n";
    for (size_t sent = 0; sent < line.size();) {
      const ssize_t n =
          send(fd_, line.data() + sent, line.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<size_t>(n);
    }
    std::string answer;
    std::array<char, 4096> buf;
    while (!answer.starts_with("READY") &&
           answer.find("\r\nREADY") == std::string::npos) {
      const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
      if (n <= 0) {
        return false;
      }
      answer.append(buf.data(), static_cast<size_t>(n));
    }
    return answer.find(expected) != std::string::npos;
  }

 private:
  int fd_ = -1;
};

/** @returns whether a statement was answered within kAnswerDeadline */
bool IsAnswered(const SocketAddress& address, const std::string& statement) {
  const auto begin = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - begin < kAnswerDeadline) {
    OrdinaryCaller caller(address);
    if (caller.Exchange("STARTUP entries ordinary", "READY") &&
        caller.Exchange("QUERY ordinary " + statement, "COMPLETE")) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return false;
}

int RunCrowd(const DriverSettings& settings) {
  const std::vector<CrowdKind> kinds = ListCrowdKinds();
  const auto kind = std::find_if(
      kinds.begin(), kinds.end(),
      [&](const CrowdKind& it) { return it.name == settings.kind; });
  if (kind == kinds.end()) {
    std::fprintf(stderr, "unknown kind %s\n", settings.kind.c_str());
    return kExitFailed;
  }
  int failures = 0;
  const auto check = [&failures](bool holds, std::string_view what) {
    std::printf("%s: %s\n", holds ? "ok" : "FAILED", std::string(what).c_str());
    failures += holds ? 0 : 1;
  };
  check(IsAnswered(settings.callers, "WRITE ordinary-1 crib"),
        "a request is answered before");
  size_t descriptors = 0;
  {
    HostileCrowd crowd(*kind, settings.is_peer,
                       settings.is_peer ? settings.peers : settings.callers);
    crowd.Run([&] {
      descriptors =
          std::max(descriptors, ReadUsage(settings.node_pid).descriptors);
    });
    std::printf("%s%s: sent %llu KiB, %zu of %zu connections are open\n",
                settings.is_peer ? "peer-" : "", settings.kind.c_str(),
                static_cast<unsigned long long>(crowd.GetSentBytes() / 1024),
                crowd.CountOpen(), kind->connections);
    check(IsAnswered(settings.callers, "READ ordinary-1"),
          "a request is answered while the crowd stays connected");
  }
  check(IsAnswered(settings.callers, "READ ordinary-1"),
        "a request is answered after the crowd has left");
  if (kind->connections == 0) {
    std::string longest = "READ ";
    longest.resize(1024 * 1024 - std::string_view("QUERY ordinary ").size(),
                   'x');
    check(IsAnswered(settings.callers, longest),
          "a request of the longest line is answered");
  }
  const ProcessUsage usage = ReadUsage(settings.node_pid);
  descriptors = std::max(descriptors, usage.descriptors);
  std::printf("peak memory %llu KiB of %zu, descriptors %zu of %zu\n",
              static_cast<unsigned long long>(usage.peak_kib),
              kind->memory_mb * 1024, descriptors, kind->max_descriptors);
  check(usage.peak_kib != 0, "the process lives");
  check(usage.peak_kib <= kind->memory_mb * 1024,
        "peak memory is within the limit");
  check(descriptors <= kind->max_descriptors,
        "open descriptors are within the limit");
  return failures == 0 ? kExitOk : kExitFailed;
}

int Run(std::span<char* const> args) {
  DriverSettings settings;
  std::string speaker = "caller";
  std::string print;
  FlagTable flags("hostile-crowd-driver",
                  "Runs a hostile crowd; see tests/hostile/hostile-crowd.");
  flags.AddText("kind", "kind of the crowd", true, settings.kind);
  flags.AddText("speaker", "caller or peer", false, speaker);
  flags.AddText("print", "limits: print the node's limits and exit", false,
                print);
  flags.AddAddress("callers", "callers' address of the node", false,
                   settings.callers);
  flags.AddAddress("peers", "forwarding address of the node", false,
                   settings.peers);
  flags.AddNumber("node-pid", "process of the node", 1, 1 << 30,
                  settings.node_pid);
  Findings findings;
  if (const FlagResult result = flags.Parse(args, findings);
      result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  settings.is_peer = speaker == "peer";
  if (print == "limits") {
    for (const CrowdKind& it : ListCrowdKinds()) {
      if (it.name == settings.kind) {
        std::printf("{\"memory-mb\": %zu, \"max-fds\": %zu}\n", it.memory_mb,
                    it.max_descriptors);
      }
    }
    return kExitOk;
  }
  return RunCrowd(settings);
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
