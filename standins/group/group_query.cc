#include "standins/group/group_query.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace magnoliareel {
namespace {

constexpr auto kVerbs = std::to_array<std::pair<std::string_view, GroupVerb>>({
    {"BEGIN", GroupVerb::kBegin},
    {"COMMIT", GroupVerb::kCommit},
    {"ROLLBACK", GroupVerb::kRollback},
    {"READ", GroupVerb::kRead},
    {"WRITE", GroupVerb::kWrite},
    {"SET", GroupVerb::kSet},
    {"PREPARE", GroupVerb::kPrepareRead},
    {"EXECUTE", GroupVerb::kExecute},
    {"DEALLOC", GroupVerb::kDeallocate},
    {"RESET", GroupVerb::kReset},
    {"STATUS", GroupVerb::kStatus},
    {"PAUSE", GroupVerb::kPause},
    {"RESUME", GroupVerb::kResume},
    {"DEMOTE", GroupVerb::kDemote},
});

bool ParseNumber(std::string_view text, uint64_t& out) {
  const char* const end = text.data() + text.size();
  const auto [parsed, ec] = std::from_chars(text.data(), end, out);
  return ec == std::errc() && parsed == end;
}

bool ParsePoint(std::string_view text, LogPoint& out) {
  const size_t dot = text.find('.');
  return dot != std::string_view::npos &&
         ParseNumber(text.substr(0, dot), out.term.value) &&
         ParseNumber(text.substr(dot + 1), out.position.value);
}

bool TakeText(std::optional<std::string_view> field, std::string& out) {
  if (!field) {
    return false;
  }
  out = *field;
  return true;
}

bool TakeNonEmpty(std::optional<std::string_view> field, std::string& out) {
  return TakeText(field, out) && !out.empty();
}

// An item takes one field, or the rest of the line if it is the last field.
bool ParseRead(FieldReader& fields, GroupQuery& out) {
  return TakeNonEmpty(fields.TakeLast(), out.item);
}

bool ParseWrite(FieldReader& fields, GroupQuery& out) {
  return TakeNonEmpty(fields.TakeNext(), out.item) &&
         TakeText(fields.TakeLast(), out.data);
}

bool ParsePrepare(FieldReader& fields, GroupQuery& out) {
  if (!TakeNonEmpty(fields.TakeNext(), out.name)) {
    return false;
  }
  const auto kind = fields.TakeNext();
  if (kind != "READ" && kind != "WRITE") {
    return false;
  }
  out.verb =
      kind == "READ" ? GroupVerb::kPrepareRead : GroupVerb::kPrepareWrite;
  return TakeNonEmpty(fields.TakeLast(), out.data);
}

bool ParseExecute(FieldReader& fields, GroupQuery& out) {
  if (!TakeNonEmpty(fields.TakeNext(), out.name)) {
    return false;
  }
  if (const auto arguments = fields.TakeLast()) {
    out.arguments = std::string(*arguments);
  }
  return true;
}

bool ParseTerm(FieldReader& fields, GroupQuery& out) {
  const auto term = fields.TakeLast();
  return term && ParseNumber(*term, out.term.value);
}

bool ParseBegin(FieldReader& fields, GroupQuery& out) {
  if (fields.IsAtEnd()) {
    return true;
  }
  out.verb = GroupVerb::kBeginRead;
  return fields.TakeLast() == "READ";
}

bool ParseStatement(FieldReader& fields, GroupQuery& out) {
  const auto word = fields.TakeNext();
  const auto it =
      std::find_if(kVerbs.begin(), kVerbs.end(),
                   [&](const auto& row) { return row.first == word; });
  if (it == kVerbs.end()) {
    return false;
  }
  out.verb = it->second;
  switch (out.verb) {
    case GroupVerb::kBegin:
    case GroupVerb::kBeginRead:
      return ParseBegin(fields, out);
    case GroupVerb::kRead:
      return ParseRead(fields, out);
    case GroupVerb::kWrite:
      return ParseWrite(fields, out);
    case GroupVerb::kSet:
      return TakeNonEmpty(fields.TakeNext(), out.name) &&
             TakeText(fields.TakeLast(), out.data);
    case GroupVerb::kPrepareRead:
    case GroupVerb::kPrepareWrite:
      return ParsePrepare(fields, out);
    case GroupVerb::kExecute:
      return ParseExecute(fields, out);
    case GroupVerb::kDeallocate:
      return TakeNonEmpty(fields.TakeLast(), out.name);
    case GroupVerb::kPause:
    case GroupVerb::kDemote:
      return ParseTerm(fields, out);
    case GroupVerb::kCommit:
    case GroupVerb::kRollback:
    case GroupVerb::kReset:
    case GroupVerb::kStatus:
    case GroupVerb::kResume:
      return fields.IsAtEnd();
  }
  return false;
}

bool MayFollowPosition(GroupVerb verb) {
  return verb == GroupVerb::kRead || verb == GroupVerb::kExecute ||
         verb == GroupVerb::kBegin || verb == GroupVerb::kBeginRead;
}

}  // namespace

std::optional<std::string_view> FieldReader::TakeNext() {
  if (!rest_) {
    return std::nullopt;
  }
  const size_t blank = rest_->find(' ');
  const std::string_view field = rest_->substr(0, blank);
  if (blank == std::string_view::npos) {
    rest_.reset();
  } else {
    rest_->remove_prefix(blank + 1);
  }
  return field;
}

std::optional<std::string_view> FieldReader::TakeLast() {
  return std::exchange(rest_, std::nullopt);
}

bool ParseGroupQuery(std::string_view rest, GroupQuery& out) {
  FieldReader fields(rest);
  if (!TakeNonEmpty(fields.TakeNext(), out.request)) {
    return false;
  }
  auto text = fields.TakeLast();
  if (!text) {
    return false;
  }
  if (FieldReader prefix(*text); prefix.TakeNext() == "AFTER") {
    const auto point = prefix.TakeNext();
    text = prefix.TakeLast();
    if (!text || !ParsePoint(*point, out.after.emplace())) {
      return false;
    }
  }
  out.text = *text;
  FieldReader statement(*text);
  return ParseStatement(statement, out) &&
         (!out.after || MayFollowPosition(out.verb));
}

bool ParseExecuteArguments(bool writes, GroupQuery& query) {
  if (!query.arguments) {
    return false;
  }
  FieldReader fields(*query.arguments);
  return writes ? ParseWrite(fields, query) : ParseRead(fields, query);
}

}  // namespace magnoliareel
