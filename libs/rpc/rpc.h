#ifndef MAGNOLIAREEL_RPC_RPC_H_
#define MAGNOLIAREEL_RPC_RPC_H_

/** @file
    @brief Module rpc: JSON-RPC 2.0 messages of control calls between processes.

    Depends on libjsonrpccpp and jsoncpp. Compiled as C++14, because the headers
    of libjsonrpccpp use dynamic exception specifications. The module encodes
    and decodes messages but does not transport them.

    Topics: server/ (dispatching requests to methods), client/ (encoding
    requests and decoding responses).
*/
#include "rpc/client/rpc_messages.h"
#include "rpc/server/rpc_dispatcher.h"

#endif  // MAGNOLIAREEL_RPC_RPC_H_
