#ifndef MAGNOLIAREEL_RPC_CLIENT_RPC_MESSAGES_H_
#define MAGNOLIAREEL_RPC_CLIENT_RPC_MESSAGES_H_

#include <json/value.h>

#include <string>

namespace magnoliareel {

/** @param method      name of a method
    @param parameters  an object
    @returns           the text of a request */
std::string MakeRpcRequest(const std::string& method,
                           const Json::Value& parameters);

/** Reads a response.

    @param text    what was received
    @param result  receives the method's result
    @returns       false if the text is no response or reports an error
*/
bool ParseRpcResponse(const std::string& text, Json::Value& result);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RPC_CLIENT_RPC_MESSAGES_H_
