#ifndef MAGNOLIAREEL_RELAY_RELAY_H_
#define MAGNOLIAREEL_RELAY_RELAY_H_

/** @file
    @brief Module relay: multiplexes callers' sessions over pooled connections
    to endpoints. Decides to which endpoint each statement is sent, when it is
    sent and how often it is retried.

    Depends on allowance, budget, core, directory, placement and telemetry. The
    message encoding and the sockets are template parameters.

    Topics: messages/ (decoded messages of callers and endpoints), sessions/
    (state of a caller's session), connections/ (connection pools and their
    queues), primaries/ (which endpoint is the primary), freshness/ (which log
    point a replica must have applied), core/ (the routing decisions; runs on
    the traffic thread).
*/
#include "relay/connections/endpoint_pool.h"
#include "relay/connections/pooled_connection.h"
#include "relay/connections/prepared_names.h"
#include "relay/connections/team_rank.h"
#include "relay/core/traffic_core.h"
#include "relay/freshness/freshness_bound.h"
#include "relay/freshness/freshness_bound_history.h"
#include "relay/messages/caller_message.h"
#include "relay/messages/endpoint_message.h"
#include "relay/messages/pooled_statement_name.h"
#include "relay/messages/statement_error.h"
#include "relay/messages/wire_dialect.h"
#include "relay/primaries/commit_hold.h"
#include "relay/primaries/commit_loss_detector.h"
#include "relay/primaries/primary_tracker.h"
#include "relay/sessions/caller_session.h"
#include "relay/sessions/session_values.h"

#endif  // MAGNOLIAREEL_RELAY_RELAY_H_
