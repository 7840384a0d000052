#ifndef MAGNOLIAREEL_RELAY_MESSAGES_CALLER_MESSAGE_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_CALLER_MESSAGE_H_

#include <cstdint>
#include <string_view>

namespace magnoliareel {

/** Kind of a statement. */
enum class StatementKind {
  kBegin,
  kBeginRead,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepareRead,
  kPrepareWrite,
  kExecute,
  kDeallocate,
  /** Resets values and prepared statements; sent by other VMs only. */
  kReset,
};

/** A statement, parsed only as far as routing needs. The views refer to the
    message that contained it. */
struct ParsedStatement {
  StatementKind kind = StatementKind::kRead;
  /** The statement as the caller wrote it. */
  std::string_view text;
  /** Name of the session value or prepared statement; empty for other kinds. */
  std::string_view name;
  /** The value to set, the shape to prepare, or the arguments of an execution:
      all that follows the name, with the separator, so that an execution under
      another name is unchanged but for the name. */
  std::string_view argument;
};

/** Kind of a caller's message. */
enum class CallerRequestKind { kOpen, kStatement, kClose };

/** A decoded message from a caller. The views refer to the received bytes. */
struct CallerMessage {
  CallerRequestKind kind = CallerRequestKind::kOpen;
  /** kOpen: name of the database. */
  std::string_view database;
  /** kOpen: name of the caller. */
  std::string_view caller;
  /** kStatement: request id that the caller chose. */
  std::string_view request_id;
  /** kStatement: the statement. */
  ParsedStatement statement;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_CALLER_MESSAGE_H_
