#ifndef MAGNOLIAREEL_HISTORY_OPERATIONS_OPERATION_H_
#define MAGNOLIAREEL_HISTORY_OPERATIONS_OPERATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** A value that is appended to a record. Values are unique in a history. */
struct Addition {
  /** Name of the record, which holds a list of values. */
  std::string record;
  /** The value. */
  std::string value;

  auto operator<=>(const Addition&) const = default;
};

/** Kind of an operation. */
enum class OperationKind {
  /** Appends one value. */
  kWrite,
  /** Appends several values in one transaction. */
  kTransaction,
  /** Reads one record. */
  kRead,
  /** Reads one record after all faults have ended. */
  kFinalRead,
};

/** An operation of a caller, with the outcome last reported to the caller. */
struct Operation {
  /** Request ID of the operation. */
  std::string request;
  /** The session; its operations are sequential. */
  std::string session;
  /** The kind. */
  OperationKind kind = OperationKind::kRead;
  /** The appended values; for reads, one entry with the record only. */
  std::vector<Addition> additions;
  /** The outcome. */
  Outcome outcome = Outcome::kUnknown;
  /** Values that a read returned. */
  std::vector<std::string> seen;
  /** Time at which the operation was sent, in microseconds of a clock that all
      operations share. */
  int64_t began = 0;
  /** Time at which the outcome was reported, in microseconds. */
  int64_t ended = 0;
  /** Time at which the commit of a transaction was sent, in microseconds; 0 if
      none was sent. */
  int64_t commit_began = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HISTORY_OPERATIONS_OPERATION_H_
