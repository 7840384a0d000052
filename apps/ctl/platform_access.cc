#include "apps/ctl/platform_access.h"

#include <utility>

namespace magnoliareel {
namespace {

constexpr size_t kLoopCapacity = 100;
constexpr Duration kRpcTimeout = std::chrono::seconds(2);

/** Starts a call and waits for what it calls back with. */
template <class T, class Start>
T Await(Start start) {
  std::promise<T> promise;
  auto future = promise.get_future();
  start([&promise](T reply) { promise.set_value(std::move(reply)); });
  return future.get();
}

}  // namespace

PlatformAccess::PlatformAccess(SocketAddress platform)
    : loop_(kLoopCapacity),
      platform_(loop_, client_, std::move(platform), PlatformKeys{}),
      rpc_(loop_, client_) {}

RowReply PlatformAccess::GetRow(const std::string& key) {
  return Await<RowReply>([&](auto done) { platform_.GetRow(key, done); });
}

RowReply PlatformAccess::CompareAndSet(const TableWrite& write) {
  return Await<RowReply>(
      [&](auto done) { platform_.CompareAndSet(write, done); });
}

PlatformReply<std::string> PlatformAccess::GetObject(const std::string& hash) {
  return Await<PlatformReply<std::string>>(
      [&](auto done) { platform_.GetObject(hash, done); });
}

std::error_code PlatformAccess::PutObject(const std::string& hash,
                                          const std::string& bytes) {
  return Await<std::error_code>(
      [&](auto done) { platform_.PutObject(hash, bytes, done); });
}

PlatformReply<std::vector<VmEntry>> PlatformAccess::ListVms() {
  return Await<PlatformReply<std::vector<VmEntry>>>(
      [&](auto done) { platform_.ListVms(done); });
}

RpcReply PlatformAccess::CallRpc(const std::string& address,
                                 const std::string& method,
                                 const Json::Value& parameters) {
  return Await<RpcReply>([&](auto done) {
    rpc_.Call(address, method, parameters, kRpcTimeout, done);
  });
}

}  // namespace magnoliareel
