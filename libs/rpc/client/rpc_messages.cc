#include "rpc/client/rpc_messages.h"

#include <jsonrpccpp/client.h>

namespace magnoliareel {
namespace {

/** A connector that stores the request and returns a given response, so that
    libjsonrpccpp only encodes and decodes, and opens no connection. */
class InMemoryConnector final : public jsonrpc::IClientConnector {
 public:
  explicit InMemoryConnector(std::string response)
      : response_(std::move(response)) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) noexcept override {
    request = message;
    result = response_;
  }

  std::string request;

 private:
  const std::string response_;
};

}  // namespace

std::string MakeRpcRequest(const std::string& method,
                           const Json::Value& parameters) {
  InMemoryConnector connector(R"({"jsonrpc":"2.0","id":1,"result":{}})");
  jsonrpc::Client client(connector);
  client.CallMethod(method, parameters);
  return connector.request;
}

bool ParseRpcResponse(const std::string& text, Json::Value& result) {
  InMemoryConnector connector(text);
  jsonrpc::Client client(connector);
  try {
    result = client.CallMethod("", Json::Value(Json::objectValue));
  } catch (const jsonrpc::JsonRpcException&) {
    return false;
  } catch (const Json::Exception&) {
    return false;
  }
  return result.isObject();
}

}  // namespace magnoliareel
