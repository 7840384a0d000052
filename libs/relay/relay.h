#ifndef MAGNOLIAREEL_RELAY_RELAY_H_
#define MAGNOLIAREEL_RELAY_RELAY_H_

/** @file
    @brief Module relay: carries callers' sessions over pooled connections to
    endpoints and decides where, when and how often each statement goes.

    Depends on core, directory and telemetry. It knows no encoding and no
    sockets: both are template parameters.

    Topics: messages/ (what callers and endpoints say), sessions/ (what a caller
    session remembers), connections/ (pooled connections, queues), leaders/ (who
    is believed to be primary), freshness/ (how far a replica must be), core/
    (the decisions that join these; runs on the traffic thread).
*/
#include "relay/connections/endpoint_pool.h"
#include "relay/connections/pooled_connection.h"
#include "relay/core/traffic_core.h"
#include "relay/freshness/freshness_bound.h"
#include "relay/freshness/freshness_bound_history.h"
#include "relay/messages/caller_message.h"
#include "relay/messages/endpoint_message.h"
#include "relay/messages/statement_error.h"
#include "relay/messages/wire_dialect.h"
#include "relay/primaries/primary_tracker.h"
#include "relay/sessions/caller_session.h"
#include "relay/sessions/session_values.h"

#endif  // MAGNOLIAREEL_RELAY_RELAY_H_
