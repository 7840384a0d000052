#ifndef MAGNOLIAREEL_TESTS_INTERLEAVINGS_FAULT_H_
#define MAGNOLIAREEL_TESTS_INTERLEAVINGS_FAULT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** Kind of a deviation from the default run. */
enum class FaultKind {
  /** The VM `subject` and the endpoint `object` no longer reach each other. */
  kCutVm,
  /** The host of the endpoint `object` refuses the connections of the VM
      `subject`. */
  kRefuseVm,
  /** The two VMs no longer hear each other. */
  kCutPeers,
  /** A traffic thread of the VM `subject` receives its first reply from the
      primary. It may have sent the statement before a promotion was ordered. */
  kFirstReply,
  /** The replica `subject` receives nothing. */
  kDeafen,
  /** No present replica receives anything. */
  kDeafenAll,
  /** A replica joins; it is listed a moment later. */
  kJoin,
  /** The replica `subject` ends and its log is lost. */
  kLeave,
  /** The endpoint `subject` crashes; its entry expires. */
  kCrash,
  /** The host of the endpoint `subject` goes down: connections to it time out.
   */
  kGoDown,
  /** The primary reports that it will stop. */
  kDrain,
  /** All VMs are lost and start anew. */
  kLoseVms,
  /** The VM `subject` is lost and starts anew. */
  kLoseVm,
  /** The VM `subject` stands still for 4 s, after which all that has come in
      reaches it. */
  kFreezeVm,
  /** The next listing reaches the VMs late. */
  kDelayListing,
  /** The next order takes 1 s to take effect. */
  kSlowOrder,
  /** Every order takes 1 s to take effect. */
  kSlowOrders,
  /** The endpoint of each order receives nothing until it leads. */
  kDeafenOrdered,
  /** The answer to the next order is lost; the order is executed 3 s later. */
  kLoseOrderAnswer,
  /** The same for all orders that reach the platform in the next 4.5 s. */
  kLoseOrderAnswers,
  /** The answer to the next command to the member `subject` is lost; the
     command is executed. */
  kLoseCommandAnswer,
  /** The next command is executed 1 s later, and its answer is lost. */
  kDelayCommand,
  /** The endpoint `subject` has no free slot for a command for 0.5 s. */
  kOverload,
  /** The answer to the next write of the duty's row is lost. */
  kLoseStoreAnswer,
  /** The crashed endpoint `subject`, whose entry has expired, is back under
      another id. */
  kReturnUnderNewId,
  /** The paused replica `subject` starts again with its log, and receives
      again: a restart ends the pause. */
  kRestartPaused,
  /** A resume that was sent earlier is executed at the paused replica
      `subject`. */
  kLateResume,
  /** The demoted endpoint `subject` crashes and is back at once. No other one
      was promoted, so it leads its term again. */
  kLeadAgain,
  /** The primary `subject` crashes and is back as the primary 0.4 s later. */
  kCrashBriefly,
};

/** One deviation from the default run. */
struct Fault {
  FaultKind kind = FaultKind::kJoin;
  size_t subject = 0;
  size_t object = 0;

  bool operator==(const Fault&) const = default;
};

/** A fault that a test injects at a virtual time. */
struct TimedFault {
  /** From the start of the run. */
  Duration at{};
  Fault fault;
};

/** @returns the fault in words */
std::string DescribeFault(const Fault& fault);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_INTERLEAVINGS_FAULT_H_
