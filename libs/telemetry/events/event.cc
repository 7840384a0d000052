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
     "The process listens. program, vm, listen, version"},
    {kCannotListen, kError, "process.cannot_listen",
     "The listen address cannot be used. listen"},
    {kStopping, kInfo, "process.stopping",
     "A stop was asked for; requests in progress are finished. in_progress"},
    {kStopped, kInfo, "process.stopped", "The process ends. program"},
    {kDocumentInForce, kInfo, "document.in_force",
     "A configuration document took effect. version, hash"},
    {kDocumentRefused, kError, "document.refused",
     "A document in the store has findings and is not used. version, findings"},
    {kStoreUnreachable, kWarning, "store.unreachable",
     "The platform's store did not answer; the present state is kept. error"},
    {kVmListChanged, kInfo, "membership.vms_changed",
     "The list of VMs in use changed. live, leaving"},
    {kPrimaryLearned, kInfo, "group.primary_learned",
     "A group's primary of a new term is known. group, primary, term"},
    {kEndpointUnreachable, kWarning, "endpoint.unreachable",
     "An endpoint stopped answering its watch. endpoint, error"},
    {kEndpointReachable, kInfo, "endpoint.reachable",
     "An endpoint answers its watch again. endpoint"},
    {kEndpointLeaving, kInfo, "endpoint.leaving",
     "An endpoint reports that it leaves; it gets no new work. endpoint"},
    {kPromotionStarted, kWarning, "promotion.started",
     "This VM promotes a new primary. group, term, reason"},
    {kPromotionDone, kInfo, "promotion.done",
     "A new primary is in office. group, primary, term, took_ms"},
    {kPromotionFailed, kWarning, "promotion.failed",
     "A promotion was given up and will be tried again. group, term, error"},
    {kGrantWritten, kInfo, "grant.written",
     "A term for a coming promotion is granted to this VM. group"},
    {kGrantMissing, kWarning, "grant.missing",
     "No term could be granted; a promotion has to wait for the store. group, "
     "error"},
    {kTransactionRolledBack, kInfo, "transaction.rolled_back",
     "An open transaction was rolled back. transaction, reason"},
    {kAcknowledgementMissed, kWarning, "write.acknowledgement_missed",
     "A write ran, but no majority held it within the deadline. group, "
     "position"},
    {kForgedTokenRefused, kWarning, "access.forged_token",
     "A session token was not authentic. caller"},
    {kBadKeyRefused, kWarning, "access.bad_key",
     "A caller's key was wrong. caller"},
    {kCallerRejected, kWarning, "caller.rejected",
     "A caller sent what is no message of the protocol. caller, reason"},
    {kDatabaseUnknown, kWarning, "caller.database_unknown",
     "No route has the database's name. database, caller, config"},
    {kStatementServed, kInfo, "statement.served",
     "A statement was answered with success; a sample, and all that needed "
     "more than one attempt. request, database, need, endpoint, attempts, "
     "wait_us, run_us, after"},
    {kStatementRefused, kWarning, "statement.refused",
     "A statement was answered with an error. request, refusal, reason, "
     "database, need, held_us, attempts, queued_at "
     "(endpoint/running/limit/connections), last"},
    {kStatementUnknown, kWarning, "statement.unknown",
     "A write or commit was sent and its outcome is not known. request, "
     "refusal, reason, database, need, held_us, attempts, queued_at, last"},
    {kStatementRetried, kInfo, "statement.retried",
     "A statement that did not run, or only read, is sent again. request, "
     "need, endpoint, refusal, attempts, pause_us"},
    {kStatementHedged, kInfo, "statement.hedged",
     "A slow read is sent to a second connection too. request, endpoint, "
     "silent, age_us"},
    {kConnectionLost, kWarning, "connection.lost",
     "A pooled connection ended while a session used it. endpoint, request, "
     "need, reason"},
    {kConnectionRefused, kWarning, "connection.refused",
     "An endpoint did not accept a connection. endpoint, refusal, connections"},
    {kEndpointFailureObserved, kWarning, "endpoint.trouble",
     "Traffic found an endpoint unreachable or silent. endpoint, service, "
     "condition, failures"},
    {kPrimaryConfirmed, kInfo, "leader.proven",
     "An endpoint proved that it leads its service. service, endpoint, term"},
    {kConfigInForce, kInfo, "config.in_force",
     "A configuration version took effect. version, routes, source"},
    {kConfigRejected, kError, "config.rejected",
     "A configuration could not be read and is not used. findings"},
    {kDirectoryChanged, kInfo, "directory.changed",
     "An endpoint came, changed or went. endpoint, service, state, role, "
     "source"},
    {kDirectoryEntryRejected, kWarning, "directory.entry_rejected",
     "A directory entry could not be read and names no endpoint. entry, "
     "findings"},
    {kStoreLost, kWarning, "store.lost",
     "The platform's store does not answer; the present state is kept. call, "
     "error"},
    {kStoreRegained, kInfo, "store.regained",
     "The platform's store answers again. away_ms"},
    {kPeerLost, kWarning, "peer.lost",
     "Another VM has not been heard for the peer timeout. vm, silent_ms"},
    {kPeerRegained, kInfo, "peer.regained",
     "Another VM is heard. vm, site, live"},
    {kDutyClaimed, kInfo, "duty.claimed",
     "This VM holds a service's failover duty. service, fencing_token"},
    {kDutyRefused, kWarning, "duty.refused",
     "A claim or an order found a newer holder. service, fencing_token, call"},
    {kPrimarySuspected, kWarning, "leader.suspected",
     "This VM's view of a primary changed. service, endpoint, condition, "
     "vantage_points, live"},
    {kReplacementStarted, kWarning, "replacement.started",
     "This VM starts to replace a primary. service, primary, reason, "
     "fencing_token"},
    {kReplacementStep, kInfo, "replacement.step",
     "An endpoint answered a step of a replacement. service, endpoint, step, "
     "role, term, received, error"},
    {kReplacementDone, kInfo, "replacement.done",
     "The platform accepted a promotion. service, endpoint, took_ms"},
    {kReplacementAbandoned, kWarning, "replacement.abandoned",
     "A replacement was given up and will be tried again. service, reason"},
    {kReadinessChanged, kInfo, "process.readiness",
     "The process changed its answer to the platform's probe. ready, reason"},
    {kSettingsReloaded, kInfo, "process.settings_reloaded",
     "SIGHUP: the settings file was checked; it is in force after the next "
     "start. findings"},
    {kDrainProgress, kInfo, "process.drain_progress",
     "The process ends now; sessions that are cut. sessions"},
    {kLinesDropped, kWarning, "log.lines_dropped",
     "The log's reader was too slow; lines were dropped. lines"},
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
