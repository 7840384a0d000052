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
