#ifndef MAGNOLIAREEL_MEMBERSHIP_MEMBERSHIP_H_
#define MAGNOLIAREEL_MEMBERSHIP_MEMBERSHIP_H_

/** @file
    @brief Module membership: assigns endpoints to owner VMs and groups to
    driver VMs.

    Depends on core, messages, document and xxhash.

    Topics: ownership/ (rendezvous hashing).
*/
#include "membership/ownership/deployment.h"
#include "membership/ownership/ownership.h"
#include "membership/ownership/rank_owners.h"

#endif  // MAGNOLIAREEL_MEMBERSHIP_MEMBERSHIP_H_
