#include "net/http/http_listener.h"

#include <http_parser.h>

#include <utility>

namespace magnoliareel::net {
namespace {

// Probes, metrics and peers need a handful; more are refused by closing.
constexpr size_t kMaxHttpConnections = 64;
constexpr size_t kMaxRequestBytes = 64 * 1024;

}  // namespace

struct HttpListener::Peer {
  HttpListener* owner = nullptr;
  uint64_t id = 0;
  Stream stream;
  http_parser parser{};
  http_parser_settings settings{};
  Request request;
  // Bytes behind the request that is being answered.
  std::string rest;
  bool complete = false;
  bool answering = false;

  void Reset() {
    http_parser_init(&parser, HTTP_REQUEST);
    parser.data = this;
    request = {};
    complete = false;
  }

  void HandleOpened() {}

  void HandleBytes(std::string_view bytes) {
    rest.append(bytes);
    HttpListener& listener = *owner;
    const uint64_t own_id = id;
    if (!Parse()) {
      listener.peers_.erase(own_id);
    }
  }

  void HandleClosed(std::error_code) { owner->peers_.erase(id); }

  // Returns false if the connection has to end.
  bool Parse() {
    while (!rest.empty() && !answering) {
      const size_t n =
          http_parser_execute(&parser, &settings, rest.data(), rest.size());
      const auto error = HTTP_PARSER_ERRNO(&parser);
      if ((error != HPE_OK && error != HPE_PAUSED) ||
          request.body.size() + request.target.size() > kMaxRequestBytes) {
        return false;
      }
      rest.erase(0, n);
      if (!complete) {
        return true;
      }
      answering = true;
      request.method = http_method_str(static_cast<http_method>(parser.method));
      owner->respond_(request,
                      [listener = owner, own_id = id](const Reply& it) {
                        listener->Send(own_id, it);
                      });
    }
    return stream.IsOpen();
  }
};

HttpListener::HttpListener(EventLoop& loop, Responder respond)
    : respond_(std::move(respond)),
      listener_(loop, [this](Stream stream) { Accept(std::move(stream)); }) {}

HttpListener::~HttpListener() = default;

std::error_code HttpListener::Listen(const SocketAddress& address) {
  return listener_.Listen(address);
}

void HttpListener::Send(uint64_t peer, const Reply& reply) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) {
    return;
  }
  Peer& to = *it->second;
  const bool keep = http_should_keep_alive(&to.parser) != 0;
  std::string& buf = to.stream.GetBuffer();
  buf.append("HTTP/1.1 ").append(std::to_string(reply.status));
  buf.append(" -\r\nContent-Length: ");
  buf.append(std::to_string(reply.body.size())).append("\r\n");
  buf.append(keep ? "\r\n" : "Connection: close\r\n\r\n");
  buf.append(reply.body);
  to.stream.Flush();
  to.answering = false;
  if (!keep) {
    to.stream.Close();
    return;
  }
  to.Reset();
}

void HttpListener::Accept(Stream stream) {
  if (peers_.size() >= kMaxHttpConnections) {
    return;
  }
  auto peer = std::make_unique<Peer>();
  Peer* it = peer.get();
  it->owner = this;
  it->id = next_peer_++;
  it->stream = std::move(stream);
  http_parser_settings_init(&it->settings);
  it->settings.on_url = [](http_parser* parser, const char* at, size_t n) {
    static_cast<Peer*>(parser->data)->request.target.append(at, n);
    return 0;
  };
  it->settings.on_header_field = [](http_parser* parser, const char* at,
                                    size_t n) {
    auto& headers = static_cast<Peer*>(parser->data)->request.headers;
    // A name may come in parts; a value in between starts the next header.
    if (headers.empty() || !headers.back().second.empty()) {
      headers.emplace_back();
    }
    headers.back().first.append(at, n);
    return 0;
  };
  it->settings.on_header_value = [](http_parser* parser, const char* at,
                                    size_t n) {
    auto& headers = static_cast<Peer*>(parser->data)->request.headers;
    if (!headers.empty()) {
      headers.back().second.append(at, n);
    }
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
  peers_.emplace(it->id, std::move(peer));
  it->stream.Serve(*it);
}

}  // namespace magnoliareel::net
