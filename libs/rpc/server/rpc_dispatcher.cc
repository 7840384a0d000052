#include "rpc/server/rpc_dispatcher.h"

#include <jsonrpccpp/server.h>

#include <map>
#include <utility>

namespace magnoliareel {

class RpcDispatcher::Impl final : public jsonrpc::IProcedureInvokationHandler {
 public:
  Impl()
      : handler_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {}

  void Add(const std::string& name, Method method) {
    handler_->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                              jsonrpc::JSON_OBJECT, nullptr));
    methods_[name] = std::move(method);
  }

  std::string Handle(const std::string& request) {
    std::string response;
    handler_->HandleRequest(request, response);
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    output = methods_[procedure.GetProcedureName()](input);
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  std::unique_ptr<jsonrpc::IProtocolHandler> handler_;
  std::map<std::string, Method> methods_;
};

RpcDispatcher::RpcDispatcher() : impl_(new Impl()) {}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::Add(const std::string& name, Method method) {
  impl_->Add(name, std::move(method));
}

std::string RpcDispatcher::Handle(const std::string& request) {
  return impl_->Handle(request);
}

}  // namespace magnoliareel
