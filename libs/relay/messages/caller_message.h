#ifndef MAGNOLIAREEL_RELAY_MESSAGES_CALLER_MESSAGE_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_CALLER_MESSAGE_H_

#include <cstdint>
#include <string_view>

namespace magnoliareel {

/** What a statement does. */
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
};

/** A statement, taken apart only as far as decisions need; views refer to the
    message that it came in. */
struct ParsedStatement {
  StatementKind kind = StatementKind::kRead;
  /** The statement as the caller wrote it. */
  std::string_view text;
  /** Name of the value or prepared statement; empty for other kinds. */
  std::string_view name;
  /** The value to set, the shape to prepare, the arguments to execute with. */
  std::string_view argument;
};

/** What a caller wants of its session. */
enum class CallerRequestKind { kOpen, kStatement, kClose };

/** A decoded message of a caller; views refer to the received bytes. */
struct CallerMessage {
  CallerRequestKind kind = CallerRequestKind::kOpen;
  /** kOpen: the database's name. */
  std::string_view database;
  /** kOpen: who is calling. */
  std::string_view caller;
  /** kStatement: the caller's id of the request. */
  std::string_view request_id;
  /** kStatement. */
  ParsedStatement statement;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_CALLER_MESSAGE_H_
