#ifndef MAGNOLIAREEL_HISTORY_RULES_CHECK_HISTORY_H_
#define MAGNOLIAREEL_HISTORY_RULES_CHECK_HISTORY_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "history/operations/operation.h"

namespace magnoliareel {

/** Consistency rules that a history must satisfy.

    @see GetHistoryRuleName
*/
enum class HistoryRule {
  /** A read returns all writes of its session that were acknowledged before the
      read began. */
  kReadYourWrites,
  /** All acknowledged writes are in the final state. */
  kLostWrite,
  /** No value occurs twice in a record. Named "doubled_write". */
  kDuplicatedWrite,
  /** No read returns a write that was reported as failed or not run. Named
      "ran_after_all". */
  kAbortedRead,
  /** The final state holds all writes of a transaction or none of them. */
  kTornTransaction,
  /** No read returns writes of a transaction before its commit was sent. Named
      "mixed_transaction". */
  kDirtyRead,
  /** A read returns only values that were written to its record. Named
      "wrong_answer". */
  kForeignValue,
};

/** @param rule  any rule
    @returns     the stable name of the rule in reports
*/
std::string_view GetHistoryRuleName(HistoryRule rule);

/** A violation of a rule. */
struct Violation {
  /** The rule. */
  HistoryRule rule = HistoryRule::kForeignValue;
  /** Request ID of the operation that violates the rule. */
  std::string request;
  /** Description with the value, the record and, if known, the operation that
      wrote the value. */
  std::string detail;
};

/** Checks a history.

    @param operations  all operations, in any order; they must include a final
                       read of each record
    @returns           all violations
*/
std::vector<Violation> CheckHistory(std::span<const Operation> operations);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HISTORY_RULES_CHECK_HISTORY_H_
