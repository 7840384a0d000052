#include "http/server/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>

#include <cassert>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

namespace magnoliareel {
namespace {

constexpr size_t kConnectionMemoryBytes = 8 * 1024;

std::string ReadHeader(MHD_Connection* connection, const char* name) {
  const char* value =
      MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
  return value == nullptr ? std::string() : std::string(value);
}

bool ExceedsBodyLimit(MHD_Connection* connection, size_t limit) {
  const std::string length =
      ReadHeader(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
  return !length.empty() && std::strtoull(length.c_str(), nullptr, 10) > limit;
}

}  // namespace

class HttpServer::Impl {
 public:
  /** A request and its response. */
  class Exchange final : public HttpResponder::Delegate {
   public:
    explicit Exchange(MHD_Connection* connection) : connection_(connection) {}

    void Respond(HttpResponse response) override {
      const std::lock_guard lock(mutex_);
      if (is_abandoned_) {
        return;
      }
      assert(!response_);
      response_ = std::move(response);
      ResumeConnection();
    }

    void Abandon() override {
      const std::lock_guard lock(mutex_);
      is_abandoned_ = true;
      ResumeConnection();
    }

    std::optional<HttpResponse> TakeResponse() {
      const std::lock_guard lock(mutex_);
      return std::exchange(response_, std::nullopt);
    }

    bool IsAbandoned() {
      const std::lock_guard lock(mutex_);
      return is_abandoned_;
    }

    void MarkClosed() {
      const std::lock_guard lock(mutex_);
      is_closed_ = true;
    }

    HttpRequest request;
    bool is_dispatched = false;

   private:
    void ResumeConnection() {
      if (!is_closed_) {
        MHD_resume_connection(connection_);
      }
    }

    MHD_Connection* const connection_;
    std::mutex mutex_;
    std::optional<HttpResponse> response_;
    bool is_abandoned_ = false;
    bool is_closed_ = false;
  };

  Impl(HttpServerOptions options, Handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  ~Impl() {
    // libmicrohttpd cannot stop while connections are suspended.
    for (const auto& it : GetInProgress()) {
      it->Abandon();
    }
    if (daemon_ != nullptr) {
      MHD_stop_daemon(daemon_);
    }
  }

  std::error_code Start() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options_.listen.port);
    if (inet_pton(AF_INET, options_.listen.host.c_str(), &address.sin_addr) !=
        1) {
      return Error::kListenFailed;
    }
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
            MHD_USE_TCP_FASTOPEN,
        options_.listen.port, nullptr, nullptr, &Impl::OnAccess, this,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
        options_.max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        kConnectionMemoryBytes, MHD_OPTION_CONNECTION_TIMEOUT,
        options_.idle_seconds, MHD_OPTION_NOTIFY_COMPLETED, &Impl::OnCompleted,
        this, MHD_OPTION_THREAD_POOL_SIZE,
        options_.threads > 1 ? options_.threads : 0U, MHD_OPTION_END);
    return daemon_ == nullptr ? make_error_code(Error::kListenFailed)
                              : std::error_code();
  }

  uint16_t GetPort() const {
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
  }

  size_t CountInProgress() { return GetInProgress().size(); }

  bool Drain(Duration timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    WaitUntilIdle(deadline);
    MHD_quiesce_daemon(daemon_);
    return WaitUntilIdle(deadline);
  }

 private:
  bool WaitUntilIdle(std::chrono::steady_clock::time_point deadline) {
    std::unique_lock lock(mutex_);
    return idle_.wait_until(lock, deadline,
                            [this] { return in_progress_.empty(); });
  }

  static MHD_Result OnAccess(void* self,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* /*version*/,
                             const char* upload,
                             size_t* upload_size,
                             void** context) {
    return static_cast<Impl*>(self)->HandleAccess(connection, url, method,
                                                  upload, upload_size, context);
  }

  static void OnCompleted(void* self,
                          MHD_Connection* /*connection*/,
                          void** context,
                          MHD_RequestTerminationCode /*code*/) {
    auto* exchange = static_cast<std::shared_ptr<Exchange>*>(*context);
    if (exchange == nullptr) {
      return;
    }
    (*exchange)->MarkClosed();
    if ((*exchange)->is_dispatched) {
      static_cast<Impl*>(self)->RemoveExchange(*exchange);
    }
    delete exchange;
    *context = nullptr;
  }

  // Called by libmicrohttpd several times per request: for the headers, for
  // each piece of the body, at its end and after the connection was resumed.
  MHD_Result HandleAccess(MHD_Connection* connection,
                          const char* url,
                          const char* method,
                          const char* upload,
                          size_t* upload_size,
                          void** context) {
    if (*context == nullptr) {
      auto exchange = std::make_shared<Exchange>(connection);
      exchange->request.method = method;
      exchange->request.path = url;
      exchange->request.is_too_large =
          ExceedsBodyLimit(connection, options_.max_body_bytes);
      *context = new std::shared_ptr<Exchange>(std::move(exchange));
      return MHD_YES;
    }
    const std::shared_ptr<Exchange> exchange =
        *static_cast<std::shared_ptr<Exchange>*>(*context);
    if (*upload_size > 0) {
      AppendBody(exchange->request, {upload, *upload_size});
      *upload_size = 0;
      return MHD_YES;
    }
    if (!exchange->is_dispatched) {
      Dispatch(connection, exchange);
      return MHD_YES;
    }
    if (exchange->IsAbandoned()) {
      return MHD_NO;
    }
    if (auto response = exchange->TakeResponse()) {
      return QueueResponse(connection, *response);
    }
    return MHD_YES;
  }

  void AppendBody(HttpRequest& request, std::string_view piece) const {
    if (request.is_too_large ||
        request.body.size() + piece.size() > options_.max_body_bytes) {
      request.is_too_large = true;
      request.body.clear();
      return;
    }
    request.body.append(piece);
  }

  void Dispatch(MHD_Connection* connection,
                const std::shared_ptr<Exchange>& exchange) {
    exchange->request.caller = ReadHeader(connection, "X-Magnoliareel-Caller");
    exchange->request.key = ReadHeader(connection, "X-Magnoliareel-Key");
    exchange->is_dispatched = true;
    {
      const std::lock_guard lock(mutex_);
      in_progress_.insert(exchange);
    }
    MHD_suspend_connection(connection);
    handler_(std::move(exchange->request), HttpResponder(exchange));
  }

  static MHD_Result QueueResponse(MHD_Connection* connection,
                                  const HttpResponse& response) {
    MHD_Response* reply = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()),
        MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(reply, MHD_HTTP_HEADER_CONTENT_TYPE,
                            response.content_type.data());
    const MHD_Result result = MHD_queue_response(
        connection, static_cast<unsigned>(response.status), reply);
    MHD_destroy_response(reply);
    return result;
  }

  std::set<std::shared_ptr<Exchange>> GetInProgress() {
    const std::lock_guard lock(mutex_);
    return in_progress_;
  }

  void RemoveExchange(const std::shared_ptr<Exchange>& exchange) {
    {
      const std::lock_guard lock(mutex_);
      in_progress_.erase(exchange);
    }
    idle_.notify_all();
  }

  const HttpServerOptions options_;
  const Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::mutex mutex_;
  std::condition_variable idle_;
  std::set<std::shared_ptr<Exchange>> in_progress_;
};

HttpServer::HttpServer(HttpServerOptions options, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() = default;

std::error_code HttpServer::Start() {
  return impl_->Start();
}

uint16_t HttpServer::GetPort() const {
  return impl_->GetPort();
}

size_t HttpServer::CountInProgress() const {
  return impl_->CountInProgress();
}

bool HttpServer::Drain(Duration timeout) {
  return impl_->Drain(timeout);
}

}  // namespace magnoliareel
