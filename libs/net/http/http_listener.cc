#include "net/http/http_listener.h"

#include <http_parser.h>

#include <utility>

namespace magnoliareel::net {
namespace {

// Probes, metrics and peers need a handful; more are refused by closing.
constexpr size_t kMostPeers = 64;
constexpr size_t kLargestRequest = 64 * 1024;

}  // namespace

struct HttpListener::Peer {
  HttpListener* owner = nullptr;
  Stream stream;
  http_parser parser{};
  http_parser_settings settings{};
  Request request;
  bool complete = false;

  void Reset() {
    http_parser_init(&parser, HTTP_REQUEST);
    parser.data = this;
    request = {};
    complete = false;
  }

  void HandleOpened() {}

  void HandleBytes(std::string_view bytes) {
    while (!bytes.empty()) {
      const size_t n =
          http_parser_execute(&parser, &settings, bytes.data(), bytes.size());
      const bool paused = HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED;
      if ((HTTP_PARSER_ERRNO(&parser) != HPE_OK && !paused) ||
          request.body.size() + request.target.size() > kLargestRequest) {
        owner->peers_.erase(this);
        return;
      }
      bytes.remove_prefix(n);
      if (!complete) {
        return;
      }
      Answer();
      if (!stream.IsOpen()) {
        owner->peers_.erase(this);
        return;
      }
    }
  }

  void HandleClosed(std::error_code) { owner->peers_.erase(this); }

  void Answer() {
    request.method = http_method_str(static_cast<http_method>(parser.method));
    const bool keep = http_should_keep_alive(&parser) != 0;
    const Reply reply = owner->respond_(request);
    std::string& buf = stream.GetBuffer();
    buf.append("HTTP/1.1 ").append(std::to_string(reply.status));
    buf.append(" -\r\nContent-Length: ");
    buf.append(std::to_string(reply.body.size())).append("\r\n");
    buf.append(keep ? "\r\n" : "Connection: close\r\n\r\n");
    buf.append(reply.body);
    stream.Flush();
    if (!keep) {
      stream.Close();
      return;
    }
    Reset();
  }
};

HttpListener::HttpListener(EventLoop& loop, Responder respond)
    : respond_(std::move(respond)),
      listener_(loop, [this](Stream stream) { Accept(std::move(stream)); }) {}

HttpListener::~HttpListener() = default;

std::error_code HttpListener::Listen(const SocketAddress& address) {
  return listener_.Listen(address);
}

void HttpListener::Accept(Stream stream) {
  if (peers_.size() >= kMostPeers) {
    return;
  }
  auto peer = std::make_unique<Peer>();
  Peer* it = peer.get();
  it->owner = this;
  it->stream = std::move(stream);
  http_parser_settings_init(&it->settings);
  it->settings.on_url = [](http_parser* parser, const char* at, size_t n) {
    static_cast<Peer*>(parser->data)->request.target.append(at, n);
    return 0;
  };
  it->settings.on_body = [](http_parser* parser, const char* at, size_t n) {
    static_cast<Peer*>(parser->data)->request.body.append(at, n);
    return 0;
  };
  it->settings.on_message_complete = [](http_parser* parser) {
    static_cast<Peer*>(parser->data)->complete = true;
    // Stops the parser here; the answer goes out before the next request.
    http_parser_pause(parser, 1);
    return 0;
  };
  it->Reset();
  peers_.emplace(it, std::move(peer));
  it->stream.Serve(*it);
}

}  // namespace magnoliareel::net
