#ifndef MAGNOLIAREEL_MEMBERSHIP_MEMBERSHIP_H_
#define MAGNOLIAREEL_MEMBERSHIP_MEMBERSHIP_H_

/** @file
    @brief Module membership: which VM owns which endpoint and drives which
    group.

    Depends on core, messages, document and xxhash.

    Topics: ownership/ (rendezvous hashing).
*/
#include "membership/ownership/deployment.h"
#include "membership/ownership/ownership.h"
#include "membership/ownership/rank_owners.h"

#endif  // MAGNOLIAREEL_MEMBERSHIP_MEMBERSHIP_H_
