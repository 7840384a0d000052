#ifndef MAGNOLIAREEL_STANDINS_GROUP_GROUP_QUERY_H_
#define MAGNOLIAREEL_STANDINS_GROUP_GROUP_QUERY_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** What a query asks a database to do. */
enum class GroupVerb {
  kBegin,
  kBeginRead,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,
  kPrepareRead,
  kPrepareWrite,
  kExecute,
  kDeallocate,
  kReset,
  kStatus,
  kPause,
  kResume,
  kDemote,
};

/** Reads the fields of a line. They are separated by single blanks, and may be
    empty; the last one extends to the end of the line.

    The stand-ins don't use the product's decoder, so that they don't share its
    mistakes.
*/
class FieldReader {
 public:
  /** @param line  the line, which must outlive the reader */
  explicit FieldReader(std::string_view line) : rest_(line) {}

  /** @returns the next field, or nothing if there is none */
  std::optional<std::string_view> TakeNext();
  /** @returns everything up to the end of the line as one field, or nothing if
               there is no field left */
  std::optional<std::string_view> TakeLast();
  /** @returns whether there is no field left */
  bool IsAtEnd() const { return !rest_; }

 private:
  std::optional<std::string_view> rest_;
};

/** The fields of a QUERY. */
struct GroupQuery {
  std::string request;
  /** Everything behind the id and AFTER. */
  std::string text;
  /** Position that AFTER requires. */
  std::optional<LogPoint> after;
  GroupVerb verb = GroupVerb::kRead;
  /** Name of a value or of a prepared statement. */
  std::string name;
  /** Item of a READ or WRITE; of an EXECUTE once its kind is known. */
  std::string item;
  /** Data of a WRITE, value of a SET or shape of a PREPARE. */
  std::string data;
  /** What follows the name in an EXECUTE; nothing if the line ends there. */
  std::optional<std::string> arguments;
  /** Term of a PAUSE or DEMOTE. */
  Term term;

  /** @returns whether the query leaves or undoes a transaction */
  bool EndsTransaction() const {
    return verb == GroupVerb::kCommit || verb == GroupVerb::kRollback;
  }
};

/** Parses what follows the word QUERY.

    @param rest  the line behind "QUERY "
    @param out   receives the fields
    @returns     false if the line breaks the protocol's grammar
*/
bool ParseGroupQuery(std::string_view rest, GroupQuery& out);

/** Splits the arguments of an EXECUTE, which depend on the kind of the prepared
    statement.

    @param writes  whether the prepared statement writes
    @param query   the EXECUTE; receives item and data
    @returns       false if the item, or the data of a write, is missing
*/
bool ParseExecuteArguments(bool writes, GroupQuery& query);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STANDINS_GROUP_GROUP_QUERY_H_
