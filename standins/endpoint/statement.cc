#include "standins/endpoint/statement.h"

#include <charconv>

namespace magnoliareel::standin {
namespace {

std::string_view TakeWord(std::string_view& text) {
  const size_t end = text.find(' ');
  const std::string_view word = text.substr(0, end);
  text =
      end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
  return word;
}

}  // namespace

std::optional<Statement> ParseStatement(std::string_view text) {
  Statement statement;
  if (std::string_view rest = text; TakeWord(rest) == "work") {
    const std::string_view number = TakeWord(rest);
    const char* const end = number.data() + number.size();
    int n = 0;
    const auto [parsed, ec] = std::from_chars(number.data(), end, n);
    if (ec != std::errc() || parsed != end || n < 0) {
      return std::nullopt;
    }
    statement.work = std::chrono::milliseconds(n);
    text = rest;
  }
  if (text == "fail") {
    return statement;
  }
  const std::string_view word = TakeWord(text);
  if (word == "put") {
    statement.action = StatementAction::kPut;
  } else if (word == "append") {
    statement.action = StatementAction::kAppend;
  } else if (word == "get") {
    statement.action = StatementAction::kGet;
  } else {
    return std::nullopt;
  }
  const bool has_value = text.find(' ') != std::string_view::npos;
  statement.key = TakeWord(text);
  statement.value = text;
  if (statement.key.empty() || has_value != IsWrite(statement)) {
    return std::nullopt;
  }
  return statement;
}

void ApplyStatement(const std::string& text, Records& records) {
  const auto statement = ParseStatement(text);
  if (!statement) {
    return;
  }
  std::string& value = records[statement->key];
  if (statement->action == StatementAction::kPut) {
    value = statement->value;
  } else if (statement->action == StatementAction::kAppend) {
    value += value.empty() ? statement->value : "," + statement->value;
  }
}

bool IsWrite(const Statement& statement) {
  return statement.action == StatementAction::kPut ||
         statement.action == StatementAction::kAppend;
}

}  // namespace magnoliareel::standin
