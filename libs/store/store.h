#ifndef MAGNOLIAREEL_STORE_STORE_H_
#define MAGNOLIAREEL_STORE_STORE_H_

/** @file
    @brief Module store: the client of the platform's table, object store and
    list of VMs, and the watcher of the deployment that they describe.

    Depends on core, codec, failover, http, membership, messages and seal.

    Topics: client/ (calls to the platform), deployment/ (configuration document
    and VMs in force).
*/
#include "store/client/platform_client.h"
#include "store/client/platform_keys.h"
#include "store/deployment/deployment_watcher.h"

#endif  // MAGNOLIAREEL_STORE_STORE_H_
