#ifndef MAGNOLIAREEL_ENTRY_ENTRY_H_
#define MAGNOLIAREEL_ENTRY_ENTRY_H_

/** @file
    @brief Module entry: serves callers' requests. It authenticates the caller,
    chooses an endpoint, sends the request to the endpoint's pooler, retries
    until the deadline, and returns the new session token.

    Depends on core, messages, document, session, membership, routing, outcome
    and seal. Independent of the encoding of requests and of the transport.

    Topics: state/ (deployment, route hints and liveness of poolers), flows/
    (processing of one request), policies/ (the behaviour in production and the
    baselines for experiments); entry_service.h (serves one request),
    pooler_link.h (concept of the transport to poolers).
*/
#include "entry/entry_service.h"
#include "entry/flows/admit_request.h"
#include "entry/flows/request_flow.h"
#include "entry/policies/entry_policy.h"
#include "entry/pooler_link.h"
#include "entry/state/entry_state.h"
#include "entry/state/pooler_liveness_table.h"

#endif  // MAGNOLIAREEL_ENTRY_ENTRY_H_
