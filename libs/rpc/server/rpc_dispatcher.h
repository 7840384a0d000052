#ifndef MAGNOLIAREEL_RPC_SERVER_RPC_DISPATCHER_H_
#define MAGNOLIAREEL_RPC_SERVER_RPC_DISPATCHER_H_

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace magnoliareel {

/** Dispatches JSON-RPC requests to registered methods. */
class RpcDispatcher {
 public:
  /** Receives the parameters and returns the result, both JSON objects. */
  using Method = std::function<Json::Value(const Json::Value&)>;

  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  /** Registers a method.

      @param name    name of the method in requests
      @param method  called for each request with this name
  */
  void Add(const std::string& name, Method method);

  /** Executes a request.

      @param request  the received JSON text
      @returns        the response, as JSON text
  */
  std::string Handle(const std::string& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RPC_SERVER_RPC_DISPATCHER_H_
