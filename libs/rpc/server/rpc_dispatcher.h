#ifndef MAGNOLIAREEL_RPC_SERVER_RPC_DISPATCHER_H_
#define MAGNOLIAREEL_RPC_SERVER_RPC_DISPATCHER_H_

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace magnoliareel {

/** Answers JSON-RPC requests by calling methods. */
class RpcDispatcher {
 public:
  /** Takes the parameters, an object, and returns the result, an object. */
  using Method = std::function<Json::Value(const Json::Value&)>;

  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  /** Adds a method. @param name  its name  @param method  what it does */
  void Add(const std::string& name, Method method);

  /** @param request  what was received  @returns the response to send */
  std::string Handle(const std::string& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RPC_SERVER_RPC_DISPATCHER_H_
