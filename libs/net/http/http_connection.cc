#include "net/http/http_connection.h"

#include <utility>

namespace magnoliareel::net {

HttpConnection::HttpConnection(EventLoop& loop, SocketAddress address)
    : loop_(loop), address_(std::move(address)), timer_(loop, [this] {
        stream_.Close();
        connected_ = false;
        FinishFrontCall(calls_.front().sent ? Error::kAnswerLost
                                            : Error::kUnreachable);
      }) {
  http_parser_settings_init(&parser_settings_);
  parser_settings_.on_header_field = [](http_parser* parser, const char* at,
                                        size_t n) {
    static_cast<HttpConnection*>(parser->data)->AppendHeaderName({at, n});
    return 0;
  };
  parser_settings_.on_header_value = [](http_parser* parser, const char* at,
                                        size_t n) {
    auto* connection = static_cast<HttpConnection*>(parser->data);
    connection->in_header_name_ = false;
    connection->reply_.headers.back().second.append(at, n);
    return 0;
  };
  parser_settings_.on_body = [](http_parser* parser, const char* at, size_t n) {
    static_cast<HttpConnection*>(parser->data)->reply_.body.append(at, n);
    return 0;
  };
  parser_settings_.on_message_complete = [](http_parser* parser) {
    auto* connection = static_cast<HttpConnection*>(parser->data);
    connection->reply_complete_ = true;
    connection->reply_.status = parser->status_code;
    connection->keep_alive_ = http_should_keep_alive(parser) != 0;
    return 0;
  };
}

void HttpConnection::Call(Request request, Duration timeout, Completion done) {
  calls_.push_back({std::move(request), timeout, std::move(done)});
  if (calls_.size() == 1) {
    StartFrontCall();
  }
}

void HttpConnection::StartFrontCall() {
  ResetParser();
  timer_.StartOnce(calls_.front().timeout);
  if (connected_) {
    SendFrontCall();
    return;
  }
  reply_count_ = 0;
  stream_.Connect(loop_, address_, *this);
}

void HttpConnection::ResetParser() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  reply_complete_ = false;
  in_header_name_ = false;
  reply_ = {};
}

void HttpConnection::AppendHeaderName(std::string_view part) {
  // A name or a value may arrive in several parts.
  if (!std::exchange(in_header_name_, true)) {
    reply_.headers.emplace_back();
  }
  reply_.headers.back().first.append(part);
}

void HttpConnection::SendFrontCall() {
  PendingCall& call = calls_.front();
  std::string& buf = stream_.GetBuffer();
  buf.append(call.request.method).append(" ").append(call.request.target);
  buf.append(" HTTP/1.1\r\nHost: ").append(address_.Format()).append("\r\n");
  for (const auto& [name, value] : call.request.headers) {
    buf.append(name).append(": ").append(value).append("\r\n");
  }
  if (!call.request.body.empty() || call.request.method == "POST") {
    buf.append("Content-Length: ");
    buf.append(std::to_string(call.request.body.size())).append("\r\n");
  }
  buf.append("\r\n").append(call.request.body);
  call.sent = true;
  stream_.Flush();
}

void HttpConnection::HandleOpened() {
  connected_ = true;
  if (!calls_.empty()) {
    SendFrontCall();
  }
}

void HttpConnection::HandleBytes(std::string_view bytes) {
  if (calls_.empty()) {
    stream_.Close();
    connected_ = false;
    return;
  }
  const size_t n = http_parser_execute(&parser_, &parser_settings_,
                                       bytes.data(), bytes.size());
  if (reply_complete_) {
    ++reply_count_;
    if (!keep_alive_) {
      stream_.Close();
      connected_ = false;
    }
    FinishFrontCall({});
  } else if (n != bytes.size() || parser_.http_errno != HPE_OK) {
    stream_.Close();
    connected_ = false;
    FinishFrontCall(Error::kAnswerLost);
  }
}

void HttpConnection::HandleClosed(std::error_code) {
  connected_ = false;
  if (calls_.empty()) {
    return;
  }
  PendingCall& call = calls_.front();
  if (call.sent && reply_count_ > 0 && !call.retried &&
      call.request.method == "GET" && call.request.retry_if_closed) {
    call.retried = true;
    call.sent = false;
    StartFrontCall();
    return;
  }
  FinishFrontCall(call.sent ? Error::kAnswerLost : Error::kUnreachable);
}

void HttpConnection::FinishFrontCall(std::error_code ec) {
  timer_.Stop();
  PendingCall call = std::move(calls_.front());
  calls_.pop_front();
  const Reply reply = std::move(reply_);
  if (!calls_.empty()) {
    StartFrontCall();
  }
  call.done(ec, reply);
}

}  // namespace magnoliareel::net
