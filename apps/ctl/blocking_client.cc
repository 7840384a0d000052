#include "apps/ctl/blocking_client.h"

#include <utility>

namespace magnoliareel {
namespace {

constexpr size_t kLoopCapacity = 100;
constexpr Duration kRpcTimeout = std::chrono::seconds(2);

/** Starts an asynchronous call and blocks until it completes.

    @tparam T    result of the call
    @param call  function that starts the call; receives the completion handler
    @returns     the value passed to the completion handler
*/
template <class T, class Call>
T CallAndWait(Call call) {
  std::promise<T> promise;
  auto future = promise.get_future();
  call([&promise](T reply) { promise.set_value(std::move(reply)); });
  return future.get();
}

}  // namespace

BlockingClient::BlockingClient(SocketAddress platform)
    : loop_(kLoopCapacity),
      platform_(loop_, client_, std::move(platform), PlatformKeys{}),
      rpc_(loop_, client_) {}

RowReply BlockingClient::GetRow(const std::string& key) {
  return CallAndWait<RowReply>([&](auto done) { platform_.GetRow(key, done); });
}

RowReply BlockingClient::CompareAndSet(const TableWrite& write) {
  return CallAndWait<RowReply>(
      [&](auto done) { platform_.CompareAndSet(write, done); });
}

PlatformReply<std::string> BlockingClient::GetObject(const std::string& hash) {
  return CallAndWait<PlatformReply<std::string>>(
      [&](auto done) { platform_.GetObject(hash, done); });
}

std::error_code BlockingClient::PutObject(const std::string& hash,
                                          const std::string& bytes) {
  return CallAndWait<std::error_code>(
      [&](auto done) { platform_.PutObject(hash, bytes, done); });
}

PlatformReply<std::vector<VmEntry>> BlockingClient::ListVms() {
  return CallAndWait<PlatformReply<std::vector<VmEntry>>>(
      [&](auto done) { platform_.ListVms(done); });
}

RpcReply BlockingClient::CallRpc(const std::string& address,
                                 const std::string& method,
                                 const Json::Value& parameters) {
  return CallAndWait<RpcReply>([&](auto done) {
    rpc_.Call(address, method, parameters, kRpcTimeout, done);
  });
}

}  // namespace magnoliareel
