#ifndef MAGNOLIAREEL_HISTORY_RULES_CHECK_HISTORY_H_
#define MAGNOLIAREEL_HISTORY_RULES_CHECK_HISTORY_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "history/operations/operation.h"

namespace magnoliareel {

/** The rules that a history must satisfy. */
enum class HistoryRule {
  /** A read returns every earlier acknowledged write of its session. */
  kReadYourWrites,
  /** An acknowledged write is in the final state. */
  kLostWrite,
  /** No value is there twice. */
  kDuplicatedWrite,
  /** What was told not to have run, or to have failed, is nowhere. */
  kAbortedRead,
  /** Of a transaction, all or nothing is in the final state. */
  kTornTransaction,
  /** Nobody sees values of a transaction before its commit was sent. */
  kDirtyRead,
  /** A read returns values of its own record only. */
  kForeignValue,
};

/** @param rule  any rule  @returns its name */
std::string_view GetHistoryRuleName(HistoryRule rule);

/** One violation of a rule. */
struct Violation {
  /** The rule. */
  HistoryRule rule = HistoryRule::kForeignValue;
  /** The operation that shows it. */
  std::string request;
  /** The value and record concerned, and the operation that added it. */
  std::string detail;
};

/** Checks a history.

    @param operations  all operations, in any order; a read of each record after
                       all faults ended must be among them
    @returns           all violations, in the order of the operations
*/
std::vector<Violation> CheckHistory(std::span<const Operation> operations);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HISTORY_RULES_CHECK_HISTORY_H_
