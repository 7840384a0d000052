#ifndef MAGNOLIAREEL_GOSSIP_GOSSIP_H_
#define MAGNOLIAREEL_GOSSIP_GOSSIP_H_

/** @file
    @brief Module gossip: encoding of the messages between VMs and of the status
    for operators.

    Depends on allowance, codec (JSON texts), control, coordination, core, relay
   and jsoncpp.

    Topics: heartbeats/, departures/, drains/, confirmations/, commands/ and
    bounds/ (datagrams),
    allowance/ (datagrams and a row), duties/ (rows that VMs leave in the store
    for each other), state/ (configuration and
   directory for a VM that cannot reach the store, and the status of a node).
*/
#include "gossip/allowance/permit_codec.h"
#include "gossip/allowance/slot_row_codec.h"
#include "gossip/bounds/bound_codec.h"
#include "gossip/commands/answered_commit_codec.h"
#include "gossip/commands/forwarded_command_codec.h"
#include "gossip/confirmations/feed_confirmation_codec.h"
#include "gossip/departures/departure_codec.h"
#include "gossip/drains/drain_codec.h"
#include "gossip/duties/duty_row_codec.h"
#include "gossip/heartbeats/heartbeat_codec.h"
#include "gossip/state/fleet_state_codec.h"
#include "gossip/state/node_status.h"

#endif  // MAGNOLIAREEL_GOSSIP_GOSSIP_H_
