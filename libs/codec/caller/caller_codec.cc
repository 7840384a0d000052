#include "codec/caller/caller_codec.h"

#include <algorithm>
#include <array>

#include "codec/json/common_fields.h"
#include "codec/json/json_text.h"
#include "codec/json/object_reader.h"

namespace magnoliareel {
namespace {

constexpr size_t kMaxTokenBytes = 16 * 1024;
constexpr size_t kMaxRequestIdBytes = 128;

struct VerbPath {
  std::string_view path;
  CallerVerb verb;
};

constexpr auto kVerbPaths = std::to_array<VerbPath>({
    {"/v1/session", CallerVerb::kOpenSession},
    {"/v1/statement", CallerVerb::kRead},
    {"/v1/begin", CallerVerb::kBegin},
    {"/v1/commit", CallerVerb::kCommit},
    {"/v1/rollback", CallerVerb::kRollback},
    {"/v1/settle", CallerVerb::kSettle},
});

void ReadStatement(ObjectReader& reader, CallerRequest& request) {
  reader.ReadEnum(
      "kind", Presence::kRequired,
      [&request](std::string_view word) {
        if (word != "write" && word != "read") {
          return false;
        }
        request.verb = word == "write" ? CallerVerb::kWrite : CallerVerb::kRead;
        return true;
      },
      "read, write");
  reader.ReadString("statement", Presence::kRequired, request.statement,
                    kMaxStatementBytes);
  reader.ReadString("record", Presence::kOptional, request.record_key);
  reader.ReadBool("idempotent", Presence::kOptional, request.is_idempotent);
  ReadWorkClass(reader, Presence::kOptional, request.work_class);
  ReadMaxAge(reader, request.max_age);
  if (request.verb == CallerVerb::kWrite && request.max_age) {
    reader.AddFinding("max_age_ms", Error::kUnknownField,
                      "only a read accepts an age");
  }
  if (request.verb == CallerVerb::kRead && reader.Has("idempotent")) {
    reader.AddFinding("idempotent", Error::kUnknownField,
                      "a read is always idempotent");
  }
}

Json::Value FormatError(const CallerAnswer& answer) {
  Json::Value error(Json::objectValue);
  error["code"] = std::string(GetErrorName(answer.ec));
  error["message"] = answer.ec.message();
  for (const Finding& it : answer.findings.GetList()) {
    Json::Value finding(Json::objectValue);
    finding["place"] = it.place;
    finding["code"] = std::string(GetErrorName(it.code));
    finding["message"] = it.message;
    error["findings"].append(std::move(finding));
  }
  return error;
}

}  // namespace

std::optional<CallerVerb> FindVerbForPath(std::string_view path) {
  for (const auto& [known, verb] : kVerbPaths) {
    if (known == path) {
      return verb;
    }
  }
  return std::nullopt;
}

CallerRequest ParseCallerRequest(CallerVerb verb,
                                 std::string_view body,
                                 Findings& findings) {
  CallerRequest request;
  request.verb = verb;
  const Json::Value value = ParseJsonObject(body, findings);
  if (!findings.IsEmpty()) {
    return request;
  }
  ObjectReader reader(value, "", findings);
  reader.ReadString("request_id", Presence::kRequired, request.request.value,
                    kMaxRequestIdBytes);
  reader.ReadMilliseconds("deadline_ms", Presence::kOptional, kMaxDeadline,
                          request.deadline);
  if (verb == CallerVerb::kOpenSession) {
    reader.ReadString("service", Presence::kRequired, request.service.value);
  } else {
    reader.ReadString("token", Presence::kRequired, request.token,
                      kMaxTokenBytes);
  }
  if (verb == CallerVerb::kRead) {
    ReadStatement(reader, request);
  }
  if (verb == CallerVerb::kBegin || verb == CallerVerb::kSettle) {
    reader.ReadString("record", Presence::kRequired, request.record_key);
  }
  reader.RejectUnknownFields();
  return request;
}

std::string_view GetPathForVerb(CallerVerb verb) {
  const CallerVerb path_verb =
      verb == CallerVerb::kWrite ? CallerVerb::kRead : verb;
  const auto it = std::find_if(
      kVerbPaths.begin(), kVerbPaths.end(),
      [path_verb](const VerbPath& entry) { return entry.verb == path_verb; });
  return it->path;
}

std::string FormatCallerRequest(const CallerRequest& request) {
  Json::Value value(Json::objectValue);
  value["request_id"] = request.request.value;
  if (request.deadline > Duration::zero()) {
    value["deadline_ms"] = ToMilliseconds(request.deadline);
  }
  if (request.verb == CallerVerb::kOpenSession) {
    value["service"] = request.service.value;
  } else {
    value["token"] = request.token;
  }
  const bool is_statement =
      request.verb == CallerVerb::kRead || request.verb == CallerVerb::kWrite;
  if (is_statement) {
    value["kind"] = request.verb == CallerVerb::kWrite ? "write" : "read";
    value["statement"] = request.statement;
    value["class"] = std::string(GetWorkClassName(request.work_class));
  }
  if (!request.record_key.empty()) {
    value["record"] = request.record_key;
  }
  if (request.verb == CallerVerb::kWrite) {
    value["idempotent"] = request.is_idempotent;
  }
  if (request.max_age) {
    value["max_age_ms"] = ToMilliseconds(*request.max_age);
  }
  return FormatJson(value);
}

CallerAnswer ParseCallerAnswer(std::string_view body, Findings& findings) {
  CallerAnswer answer;
  const Json::Value value = ParseJsonObject(body, findings);
  if (!findings.IsEmpty()) {
    return answer;
  }
  ObjectReader reader(value, "", findings);
  reader.ReadString("request_id", Presence::kOptional, answer.request.value);
  ReadOutcome(reader, answer.outcome);
  reader.ReadString("answer", Presence::kOptional, answer.answer,
                    kMaxAnswerBytes);
  reader.ReadString("token", Presence::kOptional, answer.token, kMaxTokenBytes);
  reader.ReadString("endpoint", Presence::kOptional, answer.endpoint.value);
  reader.ReadObject("error", Presence::kOptional, [&answer](ObjectReader& it) {
    std::string name;
    it.ReadString("code", Presence::kRequired, name);
    answer.ec = ParseErrorName(name);
  });
  return answer;
}

std::string FormatCallerAnswer(const CallerAnswer& answer) {
  Json::Value value(Json::objectValue);
  value["request_id"] = answer.request.value;
  value["outcome"] = std::string(GetOutcomeName(answer.outcome));
  if (answer.outcome == Outcome::kDone) {
    value["answer"] = answer.answer;
  } else {
    value["error"] = FormatError(answer);
    if (!answer.answer.empty()) {
      value["error"]["detail"] = answer.answer;
    }
  }
  if (!answer.token.empty()) {
    value["token"] = answer.token;
  }
  if (!answer.endpoint.IsEmpty()) {
    value["endpoint"] = answer.endpoint.value;
  }
  return FormatJson(value);
}

int GetHttpStatus(const CallerAnswer& answer) {
  switch (answer.outcome) {
    case Outcome::kDone:
      return 200;
    case Outcome::kFailed:
      return 422;
    case Outcome::kUnknown:
      return 504;
    case Outcome::kNotRun:
      break;
  }
  if (answer.ec == Error::kBodyTooLarge) {
    return 413;
  }
  if (answer.ec == Error::kUnknownPath || answer.ec == Error::kUnknownService) {
    return 404;
  }
  if (answer.ec == Error::kUnknownMethod) {
    return 405;
  }
  if (answer.ec == Error::kBadKey || answer.ec == Error::kUnknownCaller ||
      answer.ec == Error::kForgedToken) {
    return 401;
  }
  if (answer.ec == Error::kNotAllowed) {
    return 403;
  }
  if (answer.ec == Error::kNoTransaction ||
      answer.ec == Error::kTransactionOpen ||
      answer.ec == Error::kTransactionLost) {
    return 409;
  }
  return answer.findings.IsEmpty() ? 503 : 400;
}

}  // namespace magnoliareel
