#ifndef MAGNOLIAREEL_PLATFORM_PLATFORM_H_
#define MAGNOLIAREEL_PLATFORM_PLATFORM_H_

/** @file
    @brief Module platform: the platform's table, object store and list of VMs,
    and what a process learns from them.

    Depends on core, codec, failover, http, membership, messages and seal.

    Topics: client/ (calls to the platform), deployment/ (the document and VMs
    in force).
*/
#include "platform/client/platform_client.h"
#include "platform/client/platform_keys.h"
#include "platform/deployment/deployment_watcher.h"

#endif  // MAGNOLIAREEL_PLATFORM_PLATFORM_H_
