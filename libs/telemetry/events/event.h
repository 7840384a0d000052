#ifndef MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_H_
#define MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace magnoliareel {

/** The log events. Their numbers are stable across releases.

    @see docs/EVENTS.md, LogEvent
*/
enum class Event : uint16_t {
  kStarted = 1001,
  kCannotListen = 1002,
  kStopping = 1003,
  kStopped = 1004,
  kDocumentInForce = 2001,
  kDocumentRefused = 2002,
  kStoreUnreachable = 2003,
  kVmListChanged = 2004,
  kPrimaryLearned = 3001,
  kEndpointUnreachable = 3002,
  kEndpointReachable = 3003,
  kEndpointLeaving = 3004,
  kPromotionStarted = 3101,
  kPromotionDone = 3102,
  kPromotionFailed = 3103,
  kGrantWritten = 3104,
  kGrantMissing = 3105,
  kTransactionRolledBack = 3201,
  kAcknowledgementMissed = 3202,
  kForgedTokenRefused = 4001,
  kBadKeyRefused = 4002,
  kCallerRejected = 5001,
  kDatabaseUnknown = 5002,
  kCallerUnauthorized = 5003,
  kStatementServed = 5101,
  kStatementRefused = 5102,
  kStatementUnknown = 5103,
  kStatementRetried = 5104,
  kStatementHedged = 5105,
  kPrepareRefused = 5106,
  kConnectionLost = 5201,
  kConnectionRefused = 5202,
  kEndpointFailureObserved = 5203,
  kPrimaryConfirmed = 5204,
  kPrimaryDrained = 5205,
  kHolderFailureObserved = 5206,
  kPrimaryChanged = 5207,
  kCommitsLost = 5208,
  kCommitHoldChanged = 5209,
  kSessionValuesRefused = 5210,
  kConfigInForce = 5301,
  kConfigRejected = 5302,
  kDirectoryChanged = 5303,
  kDirectoryEntryRejected = 5304,
  kStoreLost = 5305,
  kStoreRegained = 5306,
  kStoreRestored = 5307,
  kFeedStalled = 5308,
  kDrainDated = 5309,
  kPeerLost = 5401,
  kPeerRegained = 5402,
  kDutyClaimed = 5501,
  kDutyRefused = 5502,
  kPrimarySuspected = 5503,
  kReplacementStarted = 5504,
  kReplacementStep = 5505,
  kReplacementDone = 5506,
  kReplacementAbandoned = 5507,
  kReplacementWaiting = 5508,
  kDepartureAccounted = 5509,
  kGroupRestored = 5510,
  kCommandForwarded = 5513,
  kDutyRowRejected = 5511,
  kPromotionConfirmed = 5512,
  kForwardingEnded = 5514,
  kReplicaResume = 5515,
  kOrderPremiseLost = 5516,
  kAnsweredCommitMissing = 5517,
  kReadinessChanged = 5601,
  kSettingsReloaded = 5602,
  kDrainProgress = 5603,
  kLimitsApplied = 5610,
  kAllowanceExceeded = 5701,
  kSlotsChanged = 5702,
  kSlotsWritten = 5703,
  kSlotRowRejected = 5704,
  kEndpointEjected = 5801,
  kEndpointReturned = 5802,
  kLinesDropped = 5901,
};

/** Severity of an event. */
enum class EventLevel { kInfo, kWarning, kError };

/** An entry of the event catalogue. */
struct EventDescription {
  /** The event. */
  Event event;
  /** The severity. */
  EventLevel level;
  /** Dotted name, stable across releases. */
  std::string_view name;
  /** What happened, followed by the names of the fields. */
  std::string_view meaning;
};

/** @returns the catalogue, ordered by number */
std::span<const EventDescription> ListEvents() noexcept;

/** @param event  any event
    @returns       its entry in the catalogue
*/
const EventDescription& DescribeEvent(Event event) noexcept;

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TELEMETRY_EVENTS_EVENT_H_
