#include "codec/pooler/pooler_codec.h"

#include <array>

#include "codec/json/common_fields.h"
#include "codec/json/json_text.h"
#include "codec/json/object_reader.h"
#include "codec/json/parse_object.h"

namespace magnoliareel {
namespace {

constexpr size_t kMaxHolderCount = 64;

constexpr std::array<std::string_view, 6> kVerbNames = {
    "read", "write", "begin", "commit", "rollback", "settle"};

bool ParseVerb(std::string_view word, PoolerVerb& out) {
  for (size_t n = 0; n < kVerbNames.size(); ++n) {
    if (kVerbNames[n] == word) {
      out = static_cast<PoolerVerb>(n);
      return true;
    }
  }
  return false;
}

}  // namespace

std::string FormatPoolerRequest(const PoolerRequest& request) {
  Json::Value value(Json::objectValue);
  value["verb"] = std::string(kVerbNames.at(static_cast<size_t>(request.verb)));
  value["request"] = request.request.value;
  value["caller"] = request.caller.value;
  value["group"] = request.group.value;
  value["endpoint"] = request.endpoint.value;
  value["deadline_ms"] = ToMilliseconds(request.deadline);
  value["class"] = std::string(GetWorkClassName(request.work_class));
  if (!request.transaction.IsEmpty()) {
    value["transaction"] = request.transaction.value;
  }
  if (!request.statement.empty()) {
    value["statement"] = request.statement;
  }
  if (request.is_idempotent) {
    value["idempotent"] = true;
  }
  WriteLogPoint(value, "required_term", "required_position", request.required);
  if (request.max_age) {
    value["max_age_ms"] = ToMilliseconds(*request.max_age);
  }
  return FormatJson(value);
}

PoolerRequest ParsePoolerRequest(std::string_view body, Findings& findings) {
  return ParseObject<PoolerRequest>(
      body, findings, [](ObjectReader& reader, PoolerRequest& request) {
        reader.ReadEnum(
            "verb", Presence::kRequired,
            [&request](std::string_view word) {
              return ParseVerb(word, request.verb);
            },
            "read, write, begin, commit, rollback, settle");
        reader.ReadString("request", Presence::kRequired,
                          request.request.value);
        reader.ReadString("caller", Presence::kRequired, request.caller.value);
        reader.ReadString("group", Presence::kRequired, request.group.value);
        reader.ReadString("endpoint", Presence::kRequired,
                          request.endpoint.value);
        reader.ReadMilliseconds("deadline_ms", Presence::kRequired,
                                kMaxDeadline, request.deadline);
        ReadWorkClass(reader, Presence::kRequired, request.work_class);
        reader.ReadString("transaction", Presence::kOptional,
                          request.transaction.value);
        reader.ReadString("statement", Presence::kOptional, request.statement,
                          kMaxStatementBytes);
        reader.ReadBool("idempotent", Presence::kOptional,
                        request.is_idempotent);
        ReadLogPoint(reader, "required_term", "required_position",
                     request.required);
        ReadMaxAge(reader, request.max_age);
      });
}

std::string FormatPoolerAnswer(const PoolerAnswer& answer) {
  Json::Value value(Json::objectValue);
  value["request"] = answer.request.value;
  value["outcome"] = std::string(GetOutcomeName(answer.outcome));
  if (answer.ec) {
    value["error"] = std::string(GetErrorName(answer.ec));
  }
  if (!answer.answer.empty()) {
    value["answer"] = answer.answer;
  }
  WriteLogPoint(value, "term", "position", answer.point);
  if (!answer.transaction.IsEmpty()) {
    value["transaction"] = answer.transaction.value;
  }
  if (!answer.primary.IsEmpty()) {
    value["primary"] = answer.primary.value;
    value["primary_term"] = Json::UInt64(answer.primary_term.value);
  }
  for (const EndpointId& it : answer.holders) {
    value["holders"].append(it.value);
  }
  return FormatJson(value);
}

PoolerAnswer ParsePoolerAnswer(std::string_view body, Findings& findings) {
  return ParseObject<PoolerAnswer>(
      body, findings, [](ObjectReader& reader, PoolerAnswer& answer) {
        reader.ReadString("request", Presence::kRequired, answer.request.value);
        ReadOutcome(reader, answer.outcome);
        ReadErrorName(reader, answer.ec);
        reader.ReadString("answer", Presence::kOptional, answer.answer,
                          kMaxAnswerBytes);
        ReadLogPoint(reader, "term", "position", answer.point);
        reader.ReadString("transaction", Presence::kOptional,
                          answer.transaction.value);
        reader.ReadString("primary", Presence::kOptional, answer.primary.value);
        reader.ReadUint64("primary_term", Presence::kOptional,
                          answer.primary_term.value);
        reader.ReadStringArray("holders", Presence::kOptional, kMaxHolderCount,
                               [&answer](const std::string& name) {
                                 answer.holders.push_back({name});
                               });
      });
}

}  // namespace magnoliareel
