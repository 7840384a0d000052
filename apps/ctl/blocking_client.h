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

/** Calls the platform and poolers, and blocks until each call is answered or
    fails. Meant for command-line tools.

    @see PlatformClient, RpcLink
*/
class BlockingClient {
 public:
  /** @param platform  address of the platform's service */
  explicit BlockingClient(SocketAddress platform);

  /** @param key  key of a row of the platform's table
      @returns    the row, or the error */
  RowReply GetRow(const std::string& key);
  /** Writes a row if it has the expected version.

      @param write  row, expected version and new value
      @returns      the row after the write; if the versions differ,
                    Error::kVersionConflict and the present row
  */
  RowReply CompareAndSet(const TableWrite& write);
  /** @param hash  hash that names an object
      @returns     the content of the object, or the error */
  PlatformReply<std::string> GetObject(const std::string& hash);
  /** Stores an object.

      @param hash   hash of the content, which names the object
      @param bytes  the content
      @returns      the error; empty on success
  */
  std::error_code PutObject(const std::string& hash, const std::string& bytes);
  /** @returns the list of VMs, or the error */
  PlatformReply<std::vector<VmEntry>> ListVms();
  /** Calls a method of another process.

      @param address     "host:port" of the process
      @param method      name of the method
      @param parameters  parameters of the method
      @returns           the result, or the error
  */
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
