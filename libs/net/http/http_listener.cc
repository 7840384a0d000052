#include "net/http/http_listener.h"

#include <http_parser.h>

#include <utility>

namespace magnoliareel::net {
namespace {

// Probes, metrics scrapes and peers need only a few connections; further ones
// are closed immediately.
constexpr size_t kMaxHttpConnections = 64;
constexpr size_t kMaxRequestBytes = 64 * 1024;

}  // namespace

struct HttpListener::Connection {
  HttpListener* owner = nullptr;
  uint64_t id = 0;
  Stream stream;
  http_parser parser{};
  http_parser_settings settings{};
  Request request;
  // Received bytes that the parser has not consumed: requests pipelined behind
  // the current one.
  std::string unparsed;
  bool complete = false;
  bool awaiting_reply = false;
  // A reply that is sent meanwhile leaves further requests to Parse().
  bool parsing = false;
  // The last piece of a header that the parser delivered belongs to its value.
  bool in_header_value = false;

  void Reset() {
    http_parser_init(&parser, HTTP_REQUEST);
    parser.data = this;
    request = {};
    complete = false;
    in_header_value = false;
  }

  void HandleOpened() {}

  void HandleBytes(std::string_view bytes) {
    unparsed.append(bytes);
    ParseOrClose();
  }

  // Destroys the connection if it must be closed.
  void ParseOrClose() {
    HttpListener& listener = *owner;
    const uint64_t own_id = id;
    parsing = true;
    const bool open = Parse();
    parsing = false;
    if (!open) {
      listener.connections_.erase(own_id);
    }
  }

  void HandleClosed(std::error_code) { owner->connections_.erase(id); }

  // Returns false if the connection must be closed.
  bool Parse() {
    while (!unparsed.empty() && !awaiting_reply) {
      const size_t n = http_parser_execute(&parser, &settings, unparsed.data(),
                                           unparsed.size());
      const auto error = HTTP_PARSER_ERRNO(&parser);
      if ((error != HPE_OK && error != HPE_PAUSED) ||
          request.body.size() + request.target.size() > kMaxRequestBytes) {
        return false;
      }
      unparsed.erase(0, n);
      if (!complete) {
        return true;
      }
      awaiting_reply = true;
      request.method = http_method_str(static_cast<http_method>(parser.method));
      owner->respond_(request,
                      [listener = owner, own_id = id](const Reply& reply) {
                        listener->Send(own_id, reply);
                      });
    }
    return stream.IsOpen() && unparsed.size() <= kMaxRequestBytes;
  }
};

HttpListener::HttpListener(EventLoop& loop, Responder respond)
    : respond_(std::move(respond)),
      listener_(loop, [this](Stream stream) { Accept(std::move(stream)); }) {}

HttpListener::~HttpListener() = default;

std::error_code HttpListener::Listen(const SocketAddress& address) {
  return listener_.Listen(address);
}

void HttpListener::Send(uint64_t connection_id, const Reply& reply) {
  const auto it = connections_.find(connection_id);
  if (it == connections_.end()) {
    return;
  }
  Connection& connection = *it->second;
  const bool keep_alive = http_should_keep_alive(&connection.parser) != 0;
  std::string& buf = connection.stream.GetBuffer();
  buf.append("HTTP/1.1 ").append(std::to_string(reply.status));
  buf.append(" -\r\nContent-Length: ");
  buf.append(std::to_string(reply.body.size())).append("\r\n");
  for (const auto& [name, value] : reply.headers) {
    buf.append(name).append(": ").append(value).append("\r\n");
  }
  buf.append(keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
  buf.append(reply.body);
  connection.stream.Flush();
  connection.awaiting_reply = false;
  if (keep_alive) {
    connection.Reset();
  } else if (connection.stream.CloseWhenSent()) {
    // No further request is served on this connection.
    connection.unparsed.clear();
  }
  if (!connection.parsing) {
    connection.ParseOrClose();
  }
}

void HttpListener::Accept(Stream stream) {
  if (connections_.size() >= kMaxHttpConnections) {
    return;
  }
  auto owned = std::make_unique<Connection>();
  Connection* connection = owned.get();
  connection->owner = this;
  connection->id = next_connection_id_++;
  connection->stream = std::move(stream);
  http_parser_settings_init(&connection->settings);
  connection->settings.on_url = [](http_parser* parser, const char* at,
                                   size_t n) {
    static_cast<Connection*>(parser->data)->request.target.append(at, n);
    return 0;
  };
  connection->settings.on_header_field = [](http_parser* parser, const char* at,
                                            size_t n) {
    auto& headers = static_cast<Connection*>(parser->data)->request.headers;
    // The parser may deliver a name in pieces.
    auto& in_value = static_cast<Connection*>(parser->data)->in_header_value;
    if (headers.empty() || std::exchange(in_value, false)) {
      headers.emplace_back();
    }
    headers.back().first.append(at, n);
    return 0;
  };
  connection->settings.on_header_value = [](http_parser* parser, const char* at,
                                            size_t n) {
    auto& headers = static_cast<Connection*>(parser->data)->request.headers;
    static_cast<Connection*>(parser->data)->in_header_value = true;
    if (!headers.empty()) {
      headers.back().second.append(at, n);
    }
    return 0;
  };
  connection->settings.on_body = [](http_parser* parser, const char* at,
                                    size_t n) {
    static_cast<Connection*>(parser->data)->request.body.append(at, n);
    return 0;
  };
  connection->settings.on_message_complete = [](http_parser* parser) {
    static_cast<Connection*>(parser->data)->complete = true;
    // Pauses the parser, so that the reply is sent before the next pipelined
    // request is parsed.
    http_parser_pause(parser, 1);
    return 0;
  };
  connection->Reset();
  connections_.emplace(connection->id, std::move(owned));
  connection->stream.Serve(*connection);
}

}  // namespace magnoliareel::net
