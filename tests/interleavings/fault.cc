#include "tests/interleavings/fault.h"

namespace magnoliareel {

std::string DescribeFault(const Fault& fault) {
  const std::string subject = std::to_string(fault.subject);
  switch (fault.kind) {
    case FaultKind::kCutVm:
      return "cut of vm-" + subject + " from member " +
             std::to_string(fault.object);
    case FaultKind::kRefuseVm:
      return "member " + std::to_string(fault.object) +
             " refuses the connections of vm-" + subject;
    case FaultKind::kCutPeers:
      return "the VMs no longer hear each other";
    case FaultKind::kFirstReply:
      return "the first reply to a traffic thread of vm-" + subject;
    case FaultKind::kDeafen:
      return "member " + subject + " receives nothing";
    case FaultKind::kDeafenAll:
      return "no present replica receives anything";
    case FaultKind::kJoin:
      return "a replica joins";
    case FaultKind::kLeave:
      return "member " + subject + " leaves with its log";
    case FaultKind::kCrash:
      return "member " + subject + " crashes";
    case FaultKind::kGoDown:
      return "the host of member " + subject + " goes down";
    case FaultKind::kDrain:
      return "the primary reports that it drains";
    case FaultKind::kLoseVms:
      return "all VMs are lost and start anew";
    case FaultKind::kLoseVm:
      return "vm-" + subject + " is lost and starts anew";
    case FaultKind::kFreezeVm:
      return "vm-" + subject + " stands still for 4 s";
    case FaultKind::kDelayListing:
      return "the next listing is late";
    case FaultKind::kSlowOrder:
      return "the next order takes 1 s to take effect";
    case FaultKind::kSlowOrders:
      return "all orders take 1 s to take effect";
    case FaultKind::kDeafenOrdered:
      return "the endpoint of each order receives nothing until it leads";
    case FaultKind::kLoseOrderAnswer:
      return "the next order is executed 3 s late, its answer is lost";
    case FaultKind::kLoseOrderAnswers:
      return "all orders of 4.5 s are executed 3 s late, their answers are "
             "lost";
    case FaultKind::kLoseCommandAnswer:
      return "the answer to the next command to member " + subject + " is lost";
    case FaultKind::kDelayCommand:
      return "the next command is executed 1 s late, its answer is lost";
    case FaultKind::kOverload:
      return "member " + subject + " has no free slot for 0.5 s";
    case FaultKind::kLoseStoreAnswer:
      return "the answer to the next write of the row is lost";
    case FaultKind::kReturnUnderNewId:
      return "member " + subject + " is back under another id";
    case FaultKind::kRestartPaused:
      return "member " + subject + " starts again, which ends its pause";
    case FaultKind::kLateResume:
      return "an earlier resume is executed at member " + subject;
    case FaultKind::kLeadAgain:
      return "member " + subject + " crashes and leads its term again";
    case FaultKind::kCrashBriefly:
      return "member " + subject + " crashes and is back 0.4 s later";
  }
  return "";
}

}  // namespace magnoliareel
