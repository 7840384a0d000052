#include "tests/hostile/hostile_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace magnoliareel {
namespace {

constexpr size_t kMaxLine = 1024 * 1024;
// A crowd of which nothing was sent or received for this long has stopped. The
// bounds of the tests hold at any time, so a crowd that is cut short on a slow
// machine tests less, but does not fail.
constexpr auto kQuietPeriod = std::chrono::seconds(2);
constexpr auto kMaxRun = std::chrono::seconds(45);
// Bytes that a member sends in one turn, so that all advance together.
constexpr size_t kTurnBytes = 64 * 1024;

}  // namespace

std::vector<CrowdKind> ListCrowdKinds() {
  return {
      // Nothing happens but one request of the longest line.
      {.name = "calm"},
      {.name = "ahead",
       .connections = 40,
       .messages = 200,
       .length = kMaxLine,
       .statement = "READ k"},
      {.name = "stalled-lines",
       .connections = 300,
       .messages = 1,
       .length = kMaxLine - 100,
       .statement = "READ k",
       .is_complete = false},
      {.name = "statements",
       .connections = 300,
       .messages = 1,
       .length = kMaxLine,
       .statement = "WRITE k ",
       .reads_answers = true},
      {.name = "values",
       .connections = 200,
       .messages = 2,
       .length = kMaxLine * 3 / 4,
       .statement = "SET v",
       .reads_answers = true},
      {.name = "names",
       .connections = 60,
       .messages = 8,
       .length = kMaxLine / 2,
       .statement = "PREPARE s",
       .reads_answers = true},
      {.name = "endless-lines",
       .connections = 300,
       .messages = 1,
       .length = kMaxLine * 8,
       .statement = "READ k",
       .is_complete = false},
      {.name = "short-ahead",
       .connections = 40,
       .messages = 100000,
       .length = 40,
       .statement = "READ k"},
      {.name = "mute",
       .connections = 400,
       .opens = false,
       .max_descriptors = 200},
      {.name = "slow-bytes",
       .connections = 300,
       .messages = 1,
       .length = 4096,
       .statement = "READ k",
       .is_complete = false,
       .is_slow = true},
  };
}

std::string MakeCrowdMessage(const CrowdKind& kind,
                             bool is_peer,
                             size_t number) {
  std::string out;
  const bool is_held =
      kind.statement.starts_with("SET") || kind.statement.starts_with("PREP");
  if (is_peer && !is_held) {
    out += kind.statement.starts_with("WRITE") ? "RUN w" : "RUN r";
    out += " 0 4000 1 - ";
  }
  out += "QUERY q" + std::to_string(number) + " ";
  out += kind.statement;
  if (is_held) {
    out += std::to_string(number);
    out += kind.statement.starts_with("SET") ? " " : " READ ";
  }
  out.resize(std::max(out.size() + 1, kind.length), 'x');
  if (kind.is_complete) {
    out += "\r\n";
  }
  return out;
}

HostileCrowd::HostileCrowd(const CrowdKind& kind,
                           bool is_peer,
                           SocketAddress address)
    : kind_(kind),
      is_peer_(is_peer),
      address_(std::move(address)),
      members_(kind.connections) {}

HostileCrowd::~HostileCrowd() {
  for (const Member& it : members_) {
    if (it.fd >= 0) {
      close(it.fd);
    }
  }
}

void HostileCrowd::Connect(Member& member) {
  member.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(member.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(address_.port);
  inet_pton(AF_INET, address_.host.c_str(), &peer.sin_addr);
  connect(member.fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
  if (kind_.opens) {
    member.out = is_peer_ ? "OPEN groyne-logs groyne-logs-1\r\n"
                          : "STARTUP entries hostile\r\n";
  }
}

bool HostileCrowd::Send(Member& member) {
  if (member.sent == member.out.size()) {
    if (member.next_message == kind_.messages) {
      member.finished = true;
      member.out.clear();
      member.out.shrink_to_fit();
      member.sent = 0;
      return false;
    }
    member.sent = 0;
    member.out.clear();
    do {
      member.out += MakeCrowdMessage(kind_, is_peer_, member.next_message++);
    } while (member.out.size() < kTurnBytes / 2 &&
             member.next_message < kind_.messages);
  }
  const size_t size = std::min(member.out.size() - member.sent,
                               kind_.is_slow ? size_t{1} : kTurnBytes);
  const ssize_t n =
      send(member.fd, member.out.data() + member.sent, size, MSG_NOSIGNAL);
  if (n <= 0) {
    return false;
  }
  member.sent += static_cast<size_t>(n);
  sent_bytes_ += static_cast<uint64_t>(n);
  return true;
}

bool HostileCrowd::Receive(Member& member) {
  std::array<char, 16 * 1024> buf;
  const ssize_t n = recv(member.fd, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n == 0 || (n < 0 && errno != EAGAIN)) {
    close(std::exchange(member.fd, -1));
  }
  return n >= 0;
}

void HostileCrowd::Run(const std::function<void()>& observe) {
  using Clock = std::chrono::steady_clock;
  for (Member& it : members_) {
    Connect(it);
  }
  const Clock::time_point begin = Clock::now();
  Clock::time_point progress_at = begin;
  std::vector<pollfd> polled;
  while (Clock::now() - progress_at < kQuietPeriod &&
         Clock::now() - begin < kMaxRun) {
    polled.clear();
    for (const Member& it : members_) {
      const int events =
          (it.finished ? 0 : POLLOUT) | (kind_.reads_answers ? POLLIN : 0);
      polled.push_back({it.fd, static_cast<short>(events), 0});
    }
    poll(polled.data(), polled.size(), 50);
    for (size_t n = 0; n < members_.size(); ++n) {
      Member& it = members_[n];
      const int events = polled[n].revents;
      if (it.fd < 0 || events == 0) {
        continue;
      }
      if ((events & (POLLERR | POLLHUP)) != 0) {
        close(std::exchange(it.fd, -1));
        continue;
      }
      const bool sent = (events & POLLOUT) != 0 && Send(it);
      const bool received = (events & POLLIN) != 0 && Receive(it);
      if (sent || received) {
        progress_at = Clock::now();
      }
    }
    observe();
  }
}

size_t HostileCrowd::CountOpen() const {
  return static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const Member& it) { return it.fd >= 0; }));
}

}  // namespace magnoliareel
