// The operator, the platform's promotion call and a caller of case 9.
//
// Usage: drain_writer SITE_PORT PROMOTION_PORT FRONTEND_PORT IP DRAIN_MS
// TOUCH_MS STARTED
//
// Refuses every promotion with 503. Has the primary report that it is draining,
// waits until the store holds the report, prints the time and writes through
// the node at IP. STARTED is the file that holds the start time of the node's
// process. Exit code: 0 if no write reached the primary later than DRAIN_MS
// after the report, sent when the node's process had run for TOUCH_MS; 1 if one
// did; 2 if it is not known.
#include <arpa/inet.h>
#include <jsoncpp/json/json.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

namespace {

using Clock = std::chrono::system_clock;

double GetTime() {
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

int Connect(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool SendAll(int fd, const std::string& bytes) {
  return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(bytes.size());
}

/** @returns the body of the answer to an HTTP request */
std::string Call(int port, const std::string& method, const std::string& path) {
  const int fd = Connect("127.0.0.1", port);
  if (fd < 0 ||
      !SendAll(fd, method + " " + path +
                       " HTTP/1.1\r\nHost: site\r\nConnection: close\r\n"
                       "Content-Length: 0\r\n\r\n")) {
    return "";
  }
  std::string all;
  char bytes[65536];
  for (ssize_t n = 0; (n = recv(fd, bytes, sizeof(bytes), 0)) > 0;) {
    all.append(bytes, static_cast<size_t>(n));
  }
  close(fd);
  const size_t body = all.find("\r\n\r\n");
  return body == std::string::npos ? "" : all.substr(body + 4);
}

std::string DecodeBase64(const std::string& text) {
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const char c : text) {
    const std::string letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const size_t at = letters.find(c);
    if (at == std::string::npos) {
      break;
    }
    bits = bits << 6 | static_cast<unsigned>(at);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out.push_back(static_cast<char>(bits >> count & 0xff));
    }
  }
  return out;
}

/** @returns the id of the database whose entry says that it is draining */
std::string FindDraining(int site_port) {
  Json::Value root;
  std::istringstream body(
      Call(site_port, "GET", "/v1/rows-get?table=servers&part="));
  std::string errors;
  if (!Json::parseFromStream(Json::CharReaderBuilder(), body, &root, &errors)) {
    return "";
  }
  for (const Json::Value& it : root["rows"]) {
    if (DecodeBase64(it["value"].asString()).find("\"draining\"") !=
        std::string::npos) {
      return it["key"].asString();
    }
  }
  return "";
}

/** Answers every request with 503: the platform is down. */
void ServePromotions(int listener) {
  while (true) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd < 0) {
      return;
    }
    std::thread([fd] {
      char bytes[4096];
      while (recv(fd, bytes, sizeof(bytes), 0) > 0) {
        if (!SendAll(fd, "HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n")) {
          break;
        }
      }
      close(fd);
    }).detach();
  }
}

/** @returns the answer up to READY; empty if there is none */
std::string ReadAnswer(int fd) {
  std::string answer;
  char bytes[4096];
  pollfd poll_fd{fd, POLLIN, 0};
  while (poll(&poll_fd, 1, 2000) > 0) {
    const ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return "";
    }
    answer.append(bytes, static_cast<size_t>(n));
    const size_t ready = answer.find("READY ");
    if (ready != std::string::npos &&
        answer.find("\r\n", ready) != std::string::npos) {
      for (size_t at = 0; (at = answer.find("\r\n")) != std::string::npos;) {
        answer.replace(at, 2, " | ");
      }
      return answer;
    }
  }
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 8) {
    return 2;
  }
  const int site_port = std::atoi(argv[1]);
  const int frontend = std::atoi(argv[3]);
  const std::string ip = argv[4];
  const double drain_s = std::atof(argv[5]) / 1000;
  const double touch_s = std::atof(argv[6]) / 1000;

  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(std::atoi(argv[2])));
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(listener, 64) != 0) {
    std::printf("the port of the promotion call is in use\n");
    return 2;
  }
  std::thread(ServePromotions, listener).detach();

  Call(site_port, "POST", "/fault/drain-0");
  std::string primary;
  for (int n = 0; n < 200 && primary.empty(); ++n) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    primary = FindDraining(site_port);
  }
  if (primary.empty()) {
    std::printf("the primary did not report that it is draining\n");
    return 2;
  }
  const double acked_at = GetTime();
  std::printf("  0.000 the store holds the report: %s is draining\n",
              primary.c_str());
  std::fflush(stdout);

  std::map<std::string, double> sent_at;
  int fd = -1;
  for (int n = 0; GetTime() - acked_at < drain_s + 8; ++n) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    if (fd < 0) {
      fd = Connect(ip, frontend);
      if (fd >= 0 && (!SendAll(fd, "STARTUP entries writer\r\n") ||
                      ReadAnswer(fd).rfind("READY", 0) != 0)) {
        close(fd);
        fd = -1;
      }
      if (fd < 0) {
        continue;
      }
    }
    const std::string id = "w" + std::to_string(n);
    sent_at[id] = GetTime();
    const std::string answer =
        SendAll(fd, "QUERY " + id + " WRITE item data\r\n") ? ReadAnswer(fd)
                                                            : "";
    std::printf("%7.3f %s WRITE -> %s\n", sent_at[id] - acked_at, id.c_str(),
                answer.empty() ? "closed" : answer.c_str());
    std::fflush(stdout);
    if (answer.find("READY I") == std::string::npos) {
      close(fd);
      fd = -1;
    }
  }

  double started_at = 0;
  std::ifstream(argv[7]) >> started_at;
  std::printf("the node's process started at %.3f\n", started_at - acked_at);
  Json::Value executed;
  std::istringstream body(Call(site_port, "GET", "/executed"));
  std::string errors;
  if (!Json::parseFromStream(Json::CharReaderBuilder(), body, &executed,
                             &errors)) {
    std::printf("the record of the databases cannot be read\n");
    return 2;
  }
  int runs = 0;
  int late = 0;
  for (const Json::Value& it : executed["statements"]) {
    const auto found = sent_at.find(it["id"].asString());
    if (found == sent_at.end() || it["database"].asString() != primary) {
      continue;
    }
    ++runs;
    const bool is_late = found->second - acked_at > drain_s &&
                         found->second - started_at > touch_s;
    late += is_late ? 1 : 0;
    if (is_late) {
      std::printf("%s ran %s, sent %.3f s after its report: BROKEN\n",
                  primary.c_str(), found->first.c_str(),
                  found->second - acked_at);
    }
  }
  std::printf(
      "%zu writes sent, %d run by %s, %d sent later than %.1f s after its "
      "report by a node whose process had run for %.1f s\n",
      sent_at.size(), runs, primary.c_str(), late, drain_s, touch_s);
  return runs == 0 ? 2 : late > 0 ? 1 : 0;
}
