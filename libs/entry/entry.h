#ifndef MAGNOLIAREEL_ENTRY_ENTRY_H_
#define MAGNOLIAREEL_ENTRY_ENTRY_H_

/** @file
    @brief Module entry: serves callers' requests: checks who asks, chooses the
    endpoint, asks its pooler, retries within the deadline, and hands out the
    new session token.

    Depends on core, messages, document, session, membership, routing, outcome
    and seal. Knows no encoding of requests and no transport.

    Topics: state/ (what the control thread publishes), flows/ (one request from
    arrival to answer), policies/ (the product's behaviour and its baselines),
    pooler_link.h (the abilities required of the way to
    poolers).
*/
#include "entry/entry_service.h"
#include "entry/flows/admit_request.h"
#include "entry/flows/request_flow.h"
#include "entry/policies/entry_policy.h"
#include "entry/pooler_link.h"
#include "entry/state/entry_state.h"
#include "entry/state/pooler_liveness_table.h"

#endif  // MAGNOLIAREEL_ENTRY_ENTRY_H_
