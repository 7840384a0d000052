#ifndef MAGNOLIAREEL_STANDINS_ENDPOINT_STATEMENT_H_
#define MAGNOLIAREEL_STANDINS_ENDPOINT_STATEMENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliareel::standin {

/** What a statement does. */
enum class StatementAction { kPut, kAppend, kGet, kFail };

/** A statement of the stand-in's language: an optional "work MS", then
    "put KEY VALUE", "append KEY VALUE", "get KEY" or "fail". */
struct Statement {
  /** What it does. */
  StatementAction action = StatementAction::kFail;
  /** Record that it concerns. */
  std::string key;
  /** Text to store; may hold blanks. */
  std::string value;
  /** Time that it takes; nothing if not stated. */
  std::optional<std::chrono::milliseconds> work;
};

/** @param text  a statement  @returns it, or nothing if it is malformed */
std::optional<Statement> ParseStatement(std::string_view text);

/** Records by key. */
using Records = std::map<std::string, std::string, std::less<>>;

/** Applies a writing statement; any other changes nothing.

    @param text  the statement
    @param to    the records
*/
void ApplyStatement(const std::string& text, Records& to);

/** @param statement  any statement  @returns whether it writes */
bool IsWrite(const Statement& statement);

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_STATEMENT_H_
