#ifndef MAGNOLIAREEL_HISTORY_OPERATIONS_OPERATION_H_
#define MAGNOLIAREEL_HISTORY_OPERATIONS_OPERATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** A value added to a record. Values are unique in a history. */
struct Addition {
  /** The record, a list of values. */
  std::string record;
  /** The value. */
  std::string value;

  auto operator<=>(const Addition&) const = default;
};

/** What an operation did. */
enum class OperationKind {
  /** Added one value. */
  kWrite,
  /** Added several values in one transaction. */
  kTransaction,
  /** Read one record. */
  kRead,
  /** Read one record after all faults ended. */
  kFinalRead,
};

/** One operation of a caller, with its outcome as last told to the caller. */
struct Operation {
  /** Names the operation. */
  std::string request;
  /** The session; its operations follow one another. */
  std::string session;
  /** What it did. */
  OperationKind kind = OperationKind::kRead;
  /** What it added; for reads, the record alone. */
  std::vector<Addition> additions;
  /** What became of it. */
  Outcome outcome = Outcome::kUnknown;
  /** Values that a read returned. */
  std::vector<std::string> seen;
  /** When it was sent; of a common clock, in microseconds. */
  int64_t began = 0;
  /** When its outcome was told. */
  int64_t ended = 0;
  /** When the commit of a transaction was sent; 0 if it was not. */
  int64_t commit_began = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_HISTORY_OPERATIONS_OPERATION_H_
