#include "codec/history/history_codec.h"

#include <algorithm>
#include <array>

#include "codec/json/common_fields.h"
#include "codec/json/json_text.h"
#include "codec/json/object_reader.h"

namespace magnoliareel {
namespace {

constexpr size_t kMaxAdditionsPerOperation = 1024;
constexpr size_t kMaxSeenValues = 1000000;
constexpr std::array<std::string_view, 4> kKindNames = {"write", "transaction",
                                                        "read", "final_read"};

void ReadOperation(ObjectReader& reader, Operation& operation) {
  reader.ReadString("request", Presence::kRequired, operation.request);
  reader.ReadString("session", Presence::kRequired, operation.session);
  reader.ReadEnum(
      "kind", Presence::kRequired,
      [&operation](std::string_view word) {
        const auto it = std::find(kKindNames.begin(), kKindNames.end(), word);
        if (it == kKindNames.end()) {
          return false;
        }
        operation.kind = static_cast<OperationKind>(it - kKindNames.begin());
        return true;
      },
      "write, transaction, read, final_read");
  ReadOutcome(reader, operation.outcome);
  reader.ReadObjectArray(
      "additions", Presence::kRequired, kMaxAdditionsPerOperation,
      [&operation](ObjectReader& it) {
        Addition& addition = operation.additions.emplace_back();
        it.ReadString("record", Presence::kRequired, addition.record);
        it.ReadString("value", Presence::kOptional, addition.value);
        it.RejectUnknownFields();
      });
  reader.ReadStringArray("seen", Presence::kOptional, kMaxSeenValues,
                         [&operation](const std::string& value) {
                           operation.seen.push_back(value);
                         });
  reader.ReadNumber("began_us", Presence::kRequired, 0, INT64_MAX,
                    operation.began);
  reader.ReadNumber("ended_us", Presence::kRequired, 0, INT64_MAX,
                    operation.ended);
  reader.ReadNumber("commit_began_us", Presence::kOptional, 0, INT64_MAX,
                    operation.commit_began);
  reader.RejectUnknownFields();
}

void ParseLine(std::string_view line,
               size_t number,
               Findings& findings,
               std::vector<Operation>& operations) {
  Findings line_findings;
  const Json::Value value = ParseJsonObject(line, line_findings);
  Operation operation;
  if (line_findings.IsEmpty()) {
    ObjectReader reader(value, "", line_findings);
    ReadOperation(reader, operation);
  }
  if (line_findings.IsEmpty() && operation.additions.empty()) {
    line_findings.Add("/additions", Error::kMissingField, "must name a record");
  }
  for (const Finding& it : line_findings.GetList()) {
    findings.Add("line " + std::to_string(number) + it.place,
                 static_cast<Error>(it.code.value()), it.message);
  }
  if (line_findings.IsEmpty()) {
    operations.push_back(std::move(operation));
  }
}

}  // namespace

std::string FormatOperation(const Operation& operation) {
  Json::Value value(Json::objectValue);
  value["request"] = operation.request;
  value["session"] = operation.session;
  value["kind"] =
      std::string(kKindNames.at(static_cast<size_t>(operation.kind)));
  value["outcome"] = std::string(GetOutcomeName(operation.outcome));
  for (const auto& [record, added] : operation.additions) {
    Json::Value addition(Json::objectValue);
    addition["record"] = record;
    if (!added.empty()) {
      addition["value"] = added;
    }
    value["additions"].append(std::move(addition));
  }
  for (const std::string& it : operation.seen) {
    value["seen"].append(it);
  }
  value["began_us"] = Json::Int64(operation.began);
  value["ended_us"] = Json::Int64(operation.ended);
  if (operation.commit_began != 0) {
    value["commit_began_us"] = Json::Int64(operation.commit_began);
  }
  return FormatJson(value);
}

std::vector<Operation> ParseHistory(std::string_view text, Findings& findings) {
  std::vector<Operation> operations;
  size_t number = 0;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
    ++number;
    if (!line.empty()) {
      ParseLine(line, number, findings, operations);
    }
  }
  return operations;
}

}  // namespace magnoliareel
