#ifndef MAGNOLIAREEL_FORWARDING_FORWARDING_H_
#define MAGNOLIAREEL_FORWARDING_FORWARDING_H_

/** @file
    @brief Module forwarding: which VMs hold the connections of an endpoint, and
    the encoding of statements that other VMs send them. Used while VMs
    outnumber the connections of an endpoint.

    Depends on core, directory, membership (rendezvous hashing), messages, relay
    and settings. What a holder and the VM that forwards decide is part of
    relay's TrafficCore.

    Topics: holders/ (choice of the holders), frames/ (encoding).
*/
#include "forwarding/frames/forwarding_codec.h"
#include "forwarding/holders/holder_table.h"

#endif  // MAGNOLIAREEL_FORWARDING_FORWARDING_H_
