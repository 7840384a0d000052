#include "telemetry/events/event.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace magnoliareel {
namespace {

using enum Event;
using enum EventLevel;

constexpr auto kCatalogue = std::to_array<EventDescription>({
    {kStarted, kInfo, "process.started",
     "The process started and accepts connections. program, vm, listen, "
     "version"},
    {kCannotListen, kError, "process.cannot_listen",
     "The process cannot listen on its address. listen"},
    {kStopping, kInfo, "process.stopping",
     "A shutdown was requested; requests in progress are completed first. "
     "in_progress"},
    {kStopped, kInfo, "process.stopped", "The process exits. program"},
    {kDocumentInForce, kInfo, "document.in_force",
     "A configuration document took effect. version, hash"},
    {kDocumentRefused, kError, "document.refused",
     "A document in the store is invalid and is not used. version, findings"},
    {kStoreUnreachable, kWarning, "store.unreachable",
     "The platform's store did not answer; the current state is kept. error"},
    {kVmListChanged, kInfo, "membership.vms_changed",
     "The list of VMs in use changed. live, leaving"},
    {kPrimaryLearned, kInfo, "group.primary_learned",
     "The primary of a group's new term became known. group, primary, term"},
    {kEndpointUnreachable, kWarning, "endpoint.unreachable",
     "An endpoint stopped answering status polls. endpoint"},
    {kEndpointReachable, kInfo, "endpoint.reachable",
     "An endpoint answers status polls again. endpoint"},
    {kEndpointLeaving, kInfo, "endpoint.leaving",
     "An endpoint reports that it is leaving; no new work is sent to it. "
     "endpoint"},
    {kPromotionStarted, kWarning, "promotion.started",
     "This VM started to promote a new primary. group, term, reason"},
    {kPromotionDone, kInfo, "promotion.done",
     "A promotion completed; the group has a new primary. group, primary, "
     "term, took_ms"},
    {kPromotionFailed, kWarning, "promotion.failed",
     "A promotion failed and will be retried. group, term, error"},
    {kGrantWritten, kInfo, "grant.written",
     "A term for a future promotion was granted to this VM. group"},
    {kGrantMissing, kWarning, "grant.missing",
     "No term could be granted; a promotion has to wait for the store. group, "
     "error"},
    {kTransactionRolledBack, kInfo, "transaction.rolled_back",
     "An open transaction was rolled back. transaction, reason"},
    {kAcknowledgementMissed, kWarning, "write.acknowledgement_missed",
     "A write ran, but a majority did not hold it within the deadline. group, "
     "position"},
    {kForgedTokenRefused, kWarning, "access.forged_token",
     "A session token failed authentication. caller"},
    {kBadKeyRefused, kWarning, "access.bad_key",
     "A caller presented an invalid key. caller"},
    {kCallerRejected, kWarning, "caller.rejected",
     "A caller sent an invalid protocol message. caller, reason"},
    {kDatabaseUnknown, kWarning, "caller.database_unknown",
     "A caller named a database that has no route. database, caller, config"},
    {kCallerUnauthorized, kWarning, "caller.unauthorized",
     "A caller was refused, or its session was ended, because no team has its "
     "key in the configuration in force. database, team (that had the key "
     "before, if any), config"},
    {kStatementServed, kInfo, "statement.served",
     "A statement succeeded; logged for a sample and for every statement that "
     "needed more than one attempt. request, database, need, endpoint, "
     "attempts, wait_us, run_us, after, connection, name (under which an "
     "execution was sent), shape"},
    {kStatementRefused, kWarning, "statement.refused",
     "A statement was answered with an error. request, refusal, reason, "
     "database, need, held_us, attempts, queued_at "
     "(endpoint/running/limit/connections), last, shape (of a prepared "
     "statement: read or write, hash, length in bytes)"},
    {kStatementUnknown, kWarning, "statement.unknown",
     "A write or commit was sent, but its outcome is unknown. request, "
     "refusal, reason, database, need, held_us, attempts, queued_at, last, "
     "shape"},
    {kStatementRetried, kInfo, "statement.retried",
     "A statement is retried, because it did not run or only reads. request, "
     "need, endpoint, refusal, attempts, pause_us, after (required log point), "
     "applied (last reported by the endpoint), shape"},
    {kStatementHedged, kInfo, "statement.hedged",
     "A slow read is also sent to a second connection. request, endpoint, "
     "silent, age_us"},
    {kPrepareRefused, kWarning, "statement.prepare_refused",
     "An endpoint refused to prepare a statement. request (the execution that "
     "was sent behind it), endpoint, connection, name (the pool's), shape, "
     "refusal, reason"},
    {kConnectionLost, kWarning, "connection.lost",
     "A pooled connection was lost while a session used it. endpoint, request, "
     "need, reason"},
    {kConnectionRefused, kWarning, "connection.refused",
     "An endpoint refused a connection. endpoint, refusal, connections"},
    {kEndpointFailureObserved, kWarning, "endpoint.trouble",
     "Requests to an endpoint failed, because it is unreachable or does not "
     "answer. endpoint, service, condition, failures"},
    {kPrimaryConfirmed, kInfo, "leader.proven",
     "An endpoint proved that it is the primary of its service. service, "
     "endpoint, term"},
    {kPrimaryDrained, kWarning, "primary.drained",
     "A primary is draining and has no successor in time; it gets no new "
     "statements. service, endpoint, queued"},
    {kHolderFailureObserved, kWarning, "holder.trouble",
     "A VM to which statements are forwarded is unreachable or does not "
     "answer; "
     "another one is used. vm, reason, failures"},
    {kPrimaryChanged, kInfo, "primary.changed",
     "An endpoint proved that it is the primary of a newer term, and no "
     "answered commit is known to be lost. service, endpoint, term, first_seen "
     "(first point of the term seen here), last_answered (highest log end in "
     "an answer to a commit of an older term), proven (lowest point that this "
     "commit can have), sync_replicas, answered_by, answered_ms, ordered, "
     "ordered_ms (see commits.lost)"},
    {kCommitsLost, kError, "commits.lost",
     "A commit that this VM answered with success is missing in the log of the "
     "service's new primary. service, endpoint, term, first_seen, "
     "last_answered, proven, sync_replicas (0: commits are acknowledged "
     "without a replica), answered_by (endpoint of the last commit that this "
     "VM answered before), answered_ms (since then), ordered (endpoint of the "
     "last promotion that this VM heard of), ordered_ms (since then)"},
    {kCommitHoldChanged, kInfo, "commits.hold",
     "Writes, commits and primary reads are sent to no endpoint but the "
     "successor of a primary that is being replaced; or this has ended. "
     "service, successor (none: they wait), state (begun, successor_changed, "
     "ended), reason (proof of the successor, release, or period without a "
     "repetition), held_ms"},
    {kSessionValuesRefused, kWarning, "session_values.refused",
     "An endpoint refused to set or reset session values. request, endpoint, "
     "connection, refusal, reason"},
    {kConfigInForce, kInfo, "config.in_force",
     "A configuration version took effect. version, routes, source, ignored "
     "(routes and services whose names no message can hold)"},
    {kConfigRejected, kError, "config.rejected",
     "A configuration could not be decoded and is not used. findings"},
    {kDirectoryChanged, kInfo, "directory.changed",
     "An endpoint was added, changed or removed. endpoint, service, state, "
     "role, source, drain_ms (since it can have reported that it is draining; "
     "none: it does not drain, or nothing bounds that time)"},
    {kDirectoryEntryRejected, kWarning, "directory.entry_rejected",
     "A directory entry could not be decoded and is ignored. entry, findings"},
    {kStoreLost, kWarning, "store.lost",
     "The platform's store does not answer; the current state is kept. call, "
     "error, known_ms (time before which no change is missing, ago)"},
    {kStoreRegained, kInfo, "store.regained",
     "The platform's store answers again. away_ms"},
    {kStoreRestored, kWarning, "store.restored",
     "The platform's store was restored from a copy; both tables are listed "
     "and this VM registers again. era"},
    {kFeedStalled, kWarning, "store.feed_stalled",
     "A check found changes that the pending question for changes had not "
     "delivered; they are applied, and the table is followed on a new "
     "connection. table, known_ms (time before which no change was missing, "
     "ago)"},
    {kDrainDated, kInfo, "directory.drain_dated",
     "Another VM told how long ago an endpoint reported that it is draining. "
     "endpoint, drain_ms"},
    {kPeerLost, kWarning, "peer.lost",
     "No heartbeat of another VM arrived within the peer timeout. vm, "
     "silent_ms"},
    {kPeerRegained, kInfo, "peer.regained",
     "Heartbeats of another VM arrive, for the first time or again, or its "
     "process starts anew. vm, site, live"},
    {kDutyClaimed, kInfo, "duty.claimed",
     "This VM claimed a service's failover duty. service, fencing_token"},
    {kDutyRefused, kWarning, "duty.refused",
     "A claim or a command failed or was superseded by a newer holder of the "
     "duty. service, fencing_token, call"},
    {kPrimarySuspected, kWarning, "leader.suspected",
     "The suspicion of a primary was raised, confirmed by enough VMs or "
     "withdrawn. service, endpoint, condition, vantage_points, live, known "
     "(VMs that are live or were lately), suspecting (VM:condition)"},
    {kReplacementStarted, kWarning, "replacement.started",
     "This VM started to replace a primary. service, primary, reason, "
     "fencing_token, members, departed (not accounted for), endpoints_version "
     "(of the directory), endpoints_age_ms (since their latest change), "
     "may_gain_replica (a member has left or is leaving), store"},
    {kReplacementStep, kInfo, "replacement.step",
     "An endpoint answered a step of a replacement. service, endpoint, step, "
     "role, term, received, error, command_term, paused_at (0: not paused), "
     "born (start of the listed endpoint), candidate (none before the choice), "
     "candidate_received (last reported by it), after_ms (since the start of "
     "the replacement)"},
    {kReplacementDone, kWarning, "replacement.done",
     "The platform accepted a promotion. service, endpoint, took_ms, received "
     "(last reported by the endpoint), fencing_token, demotion (of the former "
     "primary: demoted, no_answer or not_asked), log_end (of the demoted "
     "primary), check (what preceded the order: log_end, members or "
     "promoted_again), former (endpoint confirmed as primary before), answer "
     "(of the platform: accepted or lost), pause_term, paused (replicas), "
     "duty_ms (since this VM claimed the duty)"},
    {kReplacementAbandoned, kWarning, "replacement.abandoned",
     "A replacement was abandoned and will be retried if it is still needed. "
     "service, reason"},
    {kReplacementWaiting, kWarning, "replacement.waiting",
     "No primary is promoted, because a replica that has left may have been "
     "the only one with an acknowledged commit. service, departed, reason"},
    {kDepartureAccounted, kInfo, "departure.accounted",
     "A replica holds every commit that departed ones can have acknowledged. "
     "service, departed"},
    {kGroupRestored, kWarning, "group.restored",
     "This VM claimed a duty and learned what earlier holders knew: a primary "
     "that is not known here, and endpoints that have left. service, primary, "
     "departed"},
    {kCommandForwarded, kInfo, "command.forwarded",
     "Another VM sent a command to an endpoint that did not answer this VM. "
     "endpoint, step, via, result"},
    {kDutyRowRejected, kError, "duty.row_rejected",
     "The row of a failover duty could not be decoded; what earlier holders "
     "knew of the service is lost. service"},
    {kPromotionConfirmed, kWarning, "promotion.confirmed",
     "An endpoint whose promotion this VM ordered proved that it is the "
     "primary. service, endpoint, term, after_ms (since the order was sent)"},
    {kForwardingEnded, kInfo, "command.forwarding_ended",
     "A command that was forwarded to other VMs ended. endpoint, step, error, "
     "direct (result of this VM's own attempt), forwarded (number of VMs, as "
     "the next ones), answered, busy, not_sent, answer_lost, stopped, silent "
     "(VMs that did not respond), after_ms"},
    {kReplicaResume, kWarning, "replica.resume",
     "This VM ends the pause of a replica. service, endpoint, step (sent: "
     "after a report of the pause, or answered), reason (abandoned_attempt, "
     "promotion_confirmed or duty_claimed), error, paused_at, own_pause "
     "(newest term of the pauses that it may end; none: the one reported "
     "first), term, received"},
    {kOrderPremiseLost, kWarning, "order.premise_lost",
     "What an ordered promotion relies on did not hold before it took effect, "
     "and was set again. service, endpoint, what (leads_again, not_paused or "
     "joined), term, received, after_ms (since the order)"},
    {kAnsweredCommitMissing, kWarning, "replacement.commit_missing",
     "No replica is promoted, because none that is listed holds a commit that "
     "a VM has answered with success. service, endpoint (that has received "
     "most), received, answered (lowest point that the commit can have), vm"},
    {kReadinessChanged, kInfo, "process.readiness",
     "The process changed its answer to the platform's readiness probe. ready, "
     "reason"},
    {kSettingsReloaded, kInfo, "process.settings_reloaded",
     "The settings file was checked after SIGHUP; it takes effect at the next "
     "start. findings"},
    {kDrainProgress, kInfo, "process.drain_progress",
     "The process exits and disconnects the remaining sessions. sessions"},
    {kLimitsApplied, kWarning, "limits.applied",
     "Connections were closed or refused to stay within the limits of memory "
     "and descriptors, at most once a second. lines_stalled, lines_refused, "
     "answers_unread, mute_closed, callers_refused, lines_waiting, "
     "held_bytes"},
    {kAllowanceExceeded, kWarning, "allowance.exceeded",
     "An operation of a team was refused; logged once a second for each team. "
     "team, reason (empty: no bucket that was asked holds a permit; "
     "unreachable: no owner of a slot can be asked; waiting: no permit came in "
     "time; queued: the permit expired in an endpoint's queue), own_slots, "
     "owners (VMs that can be asked)"},
    {kSlotsChanged, kInfo, "slots.changed",
     "A new assignment of the slots that issue permits is known. version, "
     "slots, own"},
    {kSlotsWritten, kInfo, "slots.written",
     "This VM wrote the assignment of slots. reason (created, given, kept, "
     "taken, marked, reclaimed), result"},
    {kSlotRowRejected, kError, "slots.row_rejected",
     "The row of the slots could not be decoded; this VM issues no permits "
     "until it can. version"},
    {kEndpointEjected, kWarning, "endpoint.ejected",
     "Reads no longer go to an endpoint, except one probe each second, because "
     "its real outcomes differ from those of the others. endpoint, service, "
     "failed and succeeded (lately, half of the weight after 2 s), run_us "
     "(expected), others_us (mean of the others of its level; 0: none), "
     "eject_ms"},
    {kEndpointReturned, kInfo, "endpoint.returned",
     "Reads go to an ejected endpoint again. endpoint, service, ejected_ms "
     "(time of the last ejection)"},
    {kLinesDropped, kWarning, "log.lines_dropped",
     "Log lines were dropped, because the reader of the log was too slow. "
     "lines"},
});

}  // namespace

std::span<const EventDescription> ListEvents() noexcept {
  return kCatalogue;
}

const EventDescription& DescribeEvent(Event event) noexcept {
  const auto it = std::find_if(
      kCatalogue.begin(), kCatalogue.end(),
      [event](const EventDescription& row) { return row.event == event; });
  assert(it != kCatalogue.end());
  return *it;
}

}  // namespace magnoliareel
