#include "rpc/client/rpc_messages.h"

#include <jsonrpccpp/client.h>

namespace magnoliareel {
namespace {

/** Keeps the request and answers it with a given text, so that the library
    encodes and decodes without a connection of its own. */
class TextConnector final : public jsonrpc::IClientConnector {
 public:
  explicit TextConnector(std::string response)
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
  TextConnector connector(R"({"jsonrpc":"2.0","id":1,"result":{}})");
  jsonrpc::Client client(connector);
  client.CallMethod(method, parameters);
  return connector.request;
}

bool ParseRpcResponse(const std::string& text, Json::Value& result) {
  TextConnector connector(text);
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
