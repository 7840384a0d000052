// Callers of the nodes in case 7: ordinary ones that have set session values,
// and, with --crowd, callers that prepare many long statements.
//
// Usage: value_callers SITE_PORT FRONTEND_PORT crowd|none IP...
//
// Prints what was sent, answered and run. Exit code: 0 if each statement ran
// with the values that were acknowledged to its caller, 1 if one did not, 2 if
// it is not known.
#include <arpa/inet.h>
#include <jsoncpp/json/json.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
constexpr size_t kValueBytes = 20'000;
// A message is at most 1 MiB.
constexpr std::array<size_t, 4> kShapeBytes = {1'000'000, 100'000, 10'000,
                                               1'000};
constexpr int kCrowdSessions = 12;
constexpr int kMaxStatements = 16;
constexpr int kRounds = 3;
/** Callers of each node that have set a value. */
constexpr int kCallers = 4;

const Clock::time_point kStart = Clock::now();

void Print(const std::string& line) {
  const double at =
      std::chrono::duration<double>(Clock::now() - kStart).count();
  std::printf("%7.3f %s\n", at, line.c_str());
  std::fflush(stdout);
}

/** A session with a node. */
class Session {
 public:
  ~Session() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }

  bool Connect(const std::string& ip, int port) {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return connect(fd_, reinterpret_cast<sockaddr*>(&address),
                   sizeof(address)) == 0;
  }

  bool Send(const std::string& line) {
    const std::string bytes = line + "\r\n";
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  /** @returns the lines up to READY, separated by " | "; ends with "closed" or
               "no answer" if there is none */
  std::string ReadAnswer() {
    std::string answer;
    const auto end = Clock::now() + std::chrono::seconds(4);
    while (true) {
      const size_t at = buffer_.find("\r\n");
      if (at != std::string::npos) {
        const std::string line = buffer_.substr(0, at);
        buffer_.erase(0, at + 2);
        answer += (answer.empty() ? "" : " | ") + line;
        if (line.rfind("READY", 0) == 0) {
          return answer;
        }
        continue;
      }
      pollfd poll_fd{fd_, POLLIN, 0};
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          end - Clock::now());
      if (left.count() <= 0 ||
          poll(&poll_fd, 1, static_cast<int>(left.count())) <= 0) {
        return answer + " | no answer";
      }
      char bytes[65536];
      const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
      if (n <= 0) {
        return answer + " | closed";
      }
      buffer_.append(bytes, static_cast<size_t>(n));
    }
  }

  /** @returns all bytes up to the end of the connection */
  std::string ReadAll() {
    std::string all;
    char bytes[65536];
    for (ssize_t n = 0; (n = recv(fd_, bytes, sizeof(bytes), 0)) > 0;) {
      all.append(bytes, static_cast<size_t>(n));
    }
    return all;
  }

  std::string Run(const std::string& id, const std::string& text) {
    if (!Send("QUERY " + id + " " + text)) {
      return "closed";
    }
    return ReadAnswer();
  }

 private:
  int fd_ = -1;
  std::string buffer_;
};

/** @returns the body of the answer to a GET; empty if there is none */
std::string Fetch(int port, const std::string& path) {
  Session connection;
  if (!connection.Connect("127.0.0.1", port) ||
      !connection.Send("GET " + path +
                       " HTTP/1.1\r\nHost: site\r\nConnection: close\r\n")) {
    return "";
  }
  const std::string answer = connection.ReadAll();
  const size_t body = answer.find("\r\n\r\n");
  return body == std::string::npos ? "" : answer.substr(body + 4);
}

/** Callers that prepare statements, shorter ones when longer ones are refused.
 */
void RunCrowd(const std::string& ip,
              int port,
              std::vector<std::unique_ptr<Session>>& sessions) {
  size_t accepted = 0;
  size_t accepted_bytes = 0;
  std::string last;
  for (int it = 0; it < kCrowdSessions; ++it) {
    sessions.push_back(std::make_unique<Session>());
    Session& session = *sessions.back();
    if (!session.Connect(ip, port) || !session.Send("STARTUP entries crowd") ||
        session.ReadAnswer().rfind("READY", 0) != 0) {
      break;
    }
    int n = 0;
    for (const size_t bytes : kShapeBytes) {
      for (int count = 0; count < kMaxStatements; ++count) {
        ++n;
        last = session.Run("c" + std::to_string(it) + "x" + std::to_string(n),
                           "PREPARE s" + std::to_string(n) + " READ " +
                               std::string(bytes, 'q'));
        if (last.rfind("COMPLETE", 0) != 0) {
          break;
        }
        ++accepted;
        accepted_bytes += bytes;
      }
    }
  }
  Print("crowd at " + ip + ": " + std::to_string(accepted) +
        " PREPARE accepted, " + std::to_string(accepted_bytes) +
        " bytes; last answer: " + last.substr(0, 80));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  const int site_port = std::atoi(argv[1]);
  const int port = std::atoi(argv[2]);
  const bool has_crowd = std::string(argv[3]) == "crowd";
  const std::vector<std::string> ips(argv + 4, argv + argc);

  const std::string value(kValueBytes, 'v');
  std::map<std::string, std::unique_ptr<Session>> callers;
  for (size_t it = 0; it < ips.size() * kCallers; ++it) {
    const std::string& ip = ips[it % ips.size()];
    const std::string name = std::to_string(it / ips.size()) + "-" + ip;
    auto session = std::make_unique<Session>();
    if (!session->Connect(ip, port) ||
        !session->Send("STARTUP entries clerk") ||
        session->ReadAnswer().rfind("READY", 0) != 0) {
      Print("no session with " + ip);
      return 2;
    }
    const std::string answer =
        session->Run("set-" + name, "SET profile " + value);
    Print("caller " + name + ": SET profile <20000 bytes> -> " + answer);
    if (answer.rfind("COMPLETE", 0) != 0) {
      return 2;
    }
    callers.emplace(name, std::move(session));
  }

  std::map<std::string, std::vector<std::unique_ptr<Session>>> crowd;
  if (has_crowd) {
    std::vector<std::thread> threads;
    for (const std::string& ip : ips) {
      auto& sessions = crowd[ip];
      threads.emplace_back([&, ip] { RunCrowd(ip, port, sessions); });
    }
    for (std::thread& it : threads) {
      it.join();
    }
  }

  // Callers without values, which write all the while.
  std::atomic<bool> has_ended = false;
  std::vector<std::thread> writers;
  writers.reserve(ips.size());
  for (const std::string& ip : ips) {
    writers.emplace_back([&, ip] {
      Session session;
      if (!session.Connect(ip, port) || !session.Send("STARTUP entries crew") ||
          session.ReadAnswer().rfind("READY", 0) != 0) {
        return;
      }
      for (int n = 0; !has_ended; ++n) {
        session.Run("crew" + std::to_string(n) + "-" + ip, "WRITE entry data");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));

  std::map<std::string, std::string> sent;
  for (int round = 0; round < kRounds; ++round) {
    for (auto it = callers.begin(); it != callers.end();) {
      const std::string id = "w" + std::to_string(round) + "-" + it->first;
      const std::string answer =
          it->second->Run(id, "WRITE item" + std::to_string(round) + " data");
      sent[id] = answer;
      Print("caller " + it->first + ": " + id + " WRITE -> " + answer);
      const bool is_open = answer.find("READY I") != std::string::npos;
      it = is_open ? std::next(it) : callers.erase(it);
    }
  }

  has_ended = true;
  for (std::thread& it : writers) {
    it.join();
  }

  Json::Value executed;
  std::istringstream body(Fetch(site_port, "/executed"));
  Json::CharReaderBuilder builder;
  std::string errors;
  if (!Json::parseFromStream(builder, body, &executed, &errors)) {
    Print("the record of the databases cannot be read: " + errors);
    return 2;
  }
  int runs = 0;
  int wrong = 0;
  for (const Json::Value& it : executed["statements"]) {
    const std::string id = it["id"].asString();
    if (!sent.contains(id)) {
      continue;
    }
    ++runs;
    const std::string profile = it["values"]["profile"].asString();
    const bool is_right = profile == value;
    wrong += is_right ? 0 : 1;
    Print(it["database"].asString() + " ran " + id + " " +
          it["text"].asString() + " with profile of " +
          std::to_string(profile.size()) + " bytes" +
          (is_right ? "" : " BROKEN"));
  }
  Print(std::to_string(sent.size()) + " statements sent, " +
        std::to_string(runs) + " run, " + std::to_string(wrong) +
        " with other session values than were acknowledged");
  if (runs == 0) {
    return 2;
  }
  return wrong > 0 ? 1 : 0;
}
