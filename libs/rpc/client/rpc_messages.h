#ifndef MAGNOLIAREEL_RPC_CLIENT_RPC_MESSAGES_H_
#define MAGNOLIAREEL_RPC_CLIENT_RPC_MESSAGES_H_

#include <json/value.h>

#include <string>

namespace magnoliareel {

/** Encodes a request.

    @param method      name of the method
    @param parameters  parameters of the method, a JSON object
    @returns           the request, as JSON text
*/
std::string MakeRpcRequest(const std::string& method,
                           const Json::Value& parameters);

/** Decodes a response.

    @param text    the received text
    @param result  receives the result of the method, a JSON object
    @returns       false if the text is not a valid response or reports an error
*/
bool ParseRpcResponse(const std::string& text, Json::Value& result);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RPC_CLIENT_RPC_MESSAGES_H_
