#ifndef MAGNOLIAREEL_STANDINS_ENDPOINT_STATEMENT_H_
#define MAGNOLIAREEL_STANDINS_ENDPOINT_STATEMENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliareel::standin {

/** Kind of a statement. */
enum class StatementAction { kPut, kAppend, kGet, kFail };

/** A statement in the language of the stand-in endpoint: an optional "work MS",
    which sets the run time, then "put KEY VALUE", "append KEY VALUE",
    "get KEY" or "fail". Anything more or less is malformed. */
struct Statement {
  /** Kind of the statement. */
  StatementAction action = StatementAction::kFail;
  /** Key of the record to read or write. */
  std::string key;
  /** Value to store or append; may contain spaces. */
  std::string value;
  /** Run time, if the statement states one. */
  std::optional<std::chrono::milliseconds> work;
};

/** Parses a statement.

    @param text  text of the statement
    @returns     the statement, or nothing if the text is malformed
*/
std::optional<Statement> ParseStatement(std::string_view text);

/** Values of records by key. */
using Records = std::map<std::string, std::string, std::less<>>;

/** Applies a put or append to records. Other statements and malformed text
    change no value.

    @param text     text of the statement
    @param records  records to change
*/
void ApplyStatement(const std::string& text, Records& records);

/** @param statement  a statement  @returns whether it is a put or an append */
bool IsWrite(const Statement& statement);

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_STATEMENT_H_
