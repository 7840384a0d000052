#include "http/client/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cstring>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnoliareel {
namespace {

constexpr long kMaxCachedConnections = 1024;
constexpr int kPollTimeoutMs = 1000;
constexpr auto kConnectTimeout = std::chrono::milliseconds(1000);

struct CallInProgress {
  CallInProgress() = default;
  ~CallInProgress() { curl_slist_free_all(headers); }
  CallInProgress(const CallInProgress&) = delete;
  CallInProgress& operator=(const CallInProgress&) = delete;

  HttpCall call;
  HttpClient::Completion done;
  std::string response_body;
  size_t sent_bytes = 0;
  bool is_too_large = false;
  curl_slist* headers = nullptr;
};

size_t ReadRequestBody(char* out, size_t size, size_t count, void* context) {
  auto& progress = *static_cast<CallInProgress*>(context);
  const size_t n =
      std::min(size * count, progress.call.body.size() - progress.sent_bytes);
  std::memcpy(out, progress.call.body.data() + progress.sent_bytes, n);
  progress.sent_bytes += n;
  return n;
}

size_t AppendResponseBody(char* data,
                          size_t size,
                          size_t count,
                          void* context) {
  auto& progress = *static_cast<CallInProgress*>(context);
  const size_t n = size * count;
  if (progress.response_body.size() + n > progress.call.max_response_bytes) {
    progress.is_too_large = true;
    return 0;
  }
  progress.response_body.append(data, n);
  return n;
}

long ToMilliseconds(Duration duration) {
  return std::max<long>(
      1, std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

// A server acts on a request only when it has received a part of its body, if
// there is one.
bool MayHaveArrived(CURL* easy, const CallInProgress& progress) {
  long request_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  return progress.call.body.empty() ? request_bytes > 0
                                    : progress.sent_bytes > 0;
}

HttpResult MakeResult(CURL* easy, CURLcode code, CallInProgress& progress) {
  HttpResult result;
  if (progress.is_too_large) {
    result.ec = Error::kAnswerTooLarge;
    return result;
  }
  if (code != CURLE_OK) {
    result.ec = MayHaveArrived(easy, progress) ? Error::kAnswerLost
                                               : Error::kUnreachable;
    return result;
  }
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  result.status = static_cast<int>(status);
  result.body = std::move(progress.response_body);
  return result;
}

}  // namespace

class HttpClient::Impl {
 public:
  Impl() {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
    headers_ = curl_slist_append(headers_, "Content-Type: application/json");
    headers_ = curl_slist_append(headers_, "Expect:");
    thread_ = std::thread([this] { Run(); });
  }

  ~Impl() {
    {
      const std::lock_guard lock(mutex_);
      is_stopped_ = true;
    }
    curl_multi_wakeup(multi_);
    thread_.join();
    for (CURL* easy : free_handles_) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_);
    curl_slist_free_all(headers_);
  }

  void Send(HttpCall call, Completion done) {
    auto progress = std::make_unique<CallInProgress>();
    progress->call = std::move(call);
    progress->done = std::move(done);
    {
      const std::lock_guard lock(mutex_);
      new_calls_.push_back(std::move(progress));
    }
    curl_multi_wakeup(multi_);
  }

 private:
  void Run() {
    while (true) {
      if (!TakeNewCalls()) {
        break;
      }
      int running = 0;
      curl_multi_perform(multi_, &running);
      FinishCalls();
      curl_multi_poll(multi_, nullptr, 0, kPollTimeoutMs, nullptr);
    }
    for (auto& [easy, progress] : calls_) {
      curl_multi_remove_handle(multi_, easy);
      curl_easy_cleanup(easy);
      progress->done(HttpResult{Error::kAnswerLost, 0, {}});
    }
    const std::lock_guard lock(mutex_);
    for (const auto& it : new_calls_) {
      it->done(HttpResult{Error::kUnreachable, 0, {}});
    }
  }

  // Returns false if the client is being destroyed.
  bool TakeNewCalls() {
    std::vector<std::unique_ptr<CallInProgress>> new_calls;
    {
      const std::lock_guard lock(mutex_);
      if (is_stopped_) {
        return false;
      }
      new_calls.swap(new_calls_);
    }
    for (auto& progress : new_calls) {
      StartCall(std::move(progress));
    }
    return true;
  }

  void StartCall(std::unique_ptr<CallInProgress> progress) {
    CURL* easy = TakeHandle();
    const HttpCall& call = progress->call;
    const std::string url = "http://" + call.address.Format() + call.path;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, MakeHeaders(*progress));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToMilliseconds(call.timeout));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     ToMilliseconds(kConnectTimeout));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &AppendResponseBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, progress.get());
    if (!call.body.empty()) {
      // Without a seek callback libcurl cannot rewind the body, and so does not
      // send it again after a connection is lost.
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_READFUNCTION, &ReadRequestBody);
      curl_easy_setopt(easy, CURLOPT_READDATA, progress.get());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
    }
    curl_multi_add_handle(multi_, easy);
    calls_.emplace(easy, std::move(progress));
  }

  curl_slist* MakeHeaders(CallInProgress& progress) const {
    if (progress.call.headers.empty()) {
      return headers_;
    }
    for (const curl_slist* it = headers_; it != nullptr; it = it->next) {
      progress.headers = curl_slist_append(progress.headers, it->data);
    }
    for (const std::string& it : progress.call.headers) {
      progress.headers = curl_slist_append(progress.headers, it.c_str());
    }
    return progress.headers;
  }

  void FinishCalls() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      auto node = calls_.extract(easy);
      HttpResult result = MakeResult(easy, code, *node.mapped());
      curl_multi_remove_handle(multi_, easy);
      if (code == CURLE_OK) {
        curl_easy_reset(easy);
        free_handles_.push_back(easy);
      } else {
        // A reset keeps the intention to send the body again, which would fail
        // the next call.
        curl_easy_cleanup(easy);
      }
      node.mapped()->done(std::move(result));
    }
  }

  CURL* TakeHandle() {
    if (free_handles_.empty()) {
      return curl_easy_init();
    }
    CURL* easy = free_handles_.back();
    free_handles_.pop_back();
    return easy;
  }

  CURLM* multi_ = nullptr;
  // Headers of calls without headers of their own.
  curl_slist* headers_ = nullptr;
  std::unordered_map<CURL*, std::unique_ptr<CallInProgress>> calls_;
  std::vector<CURL*> free_handles_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<CallInProgress>> new_calls_;
  bool is_stopped_ = false;
  std::thread thread_;
};

HttpClient::HttpClient() : impl_(std::make_unique<Impl>()) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpCall call, Completion done) {
  impl_->Send(std::move(call), std::move(done));
}

}  // namespace magnoliareel
