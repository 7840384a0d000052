#ifndef MAGNOLIAREEL_APPS_CTL_BLOCKING_CLIENT_H_
#define MAGNOLIAREEL_APPS_CTL_BLOCKING_CLIENT_H_

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "http/http.h"
#include "links/links.h"
#include "store/store.h"

namespace magnoliareel {

/** Calls the platform and other processes and waits for the answers. */
class BlockingClient {
 public:
  /** @param platform  address of the platform's service */
  explicit BlockingClient(SocketAddress platform);

  /** @param key  name of a row  @returns the row, or the error */
  RowReply GetRow(const std::string& key);
  /** @param write  a write  @returns the row after it, or the error */
  RowReply CompareAndSet(const TableWrite& write);
  /** @param hash  name of an object  @returns its bytes, or the error */
  PlatformReply<std::string> GetObject(const std::string& hash);
  /** Keeps an object. @returns the error, if any */
  std::error_code PutObject(const std::string& hash, const std::string& bytes);
  /** @returns the list of VMs, or the error */
  PlatformReply<std::vector<VmEntry>> ListVms();
  /** Makes a control call. @returns its reply */
  RpcReply CallRpc(const std::string& address,
                   const std::string& method,
                   const Json::Value& parameters);

 private:
  ControlLoop loop_;
  HttpClient client_;
  PlatformClient<ControlLoop> platform_;
  RpcLink<ControlLoop> rpc_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_CTL_BLOCKING_CLIENT_H_
