#ifndef MAGNOLIAREEL_RPC_RPC_H_
#define MAGNOLIAREEL_RPC_RPC_H_

/** @file
    @brief Module rpc: JSON-RPC 2.0 texts of control calls between processes.

    Depends on libjsonrpccpp and jsoncpp. Compiled as C++14; makes and answers
    texts, and leaves their transport to others.

    Topics: server/ (dispatching requests to methods), client/ (making requests
    and reading responses).
*/
#include "rpc/client/rpc_messages.h"
#include "rpc/server/rpc_dispatcher.h"

#endif  // MAGNOLIAREEL_RPC_RPC_H_
