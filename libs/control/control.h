#ifndef MAGNOLIAREEL_CONTROL_CONTROL_H_
#define MAGNOLIAREEL_CONTROL_CONTROL_H_

/** @file
    @brief Module control: the decisions of a node's control thread.

    Depends on coordination, core, directory, membership, settings and
    telemetry. It contains no message encoding and no sockets; both are template
    parameters.

    Topics: settings/ (configuration of a node at its start), fleet/ (routes and
    endpoints in force, readiness, shutdown), peers/ (other nodes), failover/
    (detection of failed primaries, failover duties, replacement of a
    primary).
*/
#include "control/failover/answered_commits.h"
#include "control/failover/command_forwarder.h"
#include "control/failover/connection_aware_commands.h"
#include "control/failover/departure_audit.h"
#include "control/failover/departure_tracker.h"
#include "control/failover/endpoint_commands.h"
#include "control/failover/failover_control.h"
#include "control/failover/forwarded_command.h"
#include "control/failover/order_guard.h"
#include "control/failover/primary_replacement.h"
#include "control/failover/replacement_plan.h"
#include "control/failover/vacancy_tracker.h"
#include "control/fleet/fleet_control.h"
#include "control/fleet/shutdown_sequence.h"
#include "control/peers/departure_notice.h"
#include "control/peers/drain_notice.h"
#include "control/peers/feed_confirmation.h"
#include "control/peers/heartbeat.h"
#include "control/peers/peer_group.h"
#include "control/settings/node_settings.h"

#endif  // MAGNOLIAREEL_CONTROL_CONTROL_H_
