#include "codec/endpoint/endpoint_codec.h"

#include <algorithm>
#include <array>

#include "codec/endpoint/report_codec.h"
#include "codec/json/common_fields.h"
#include "codec/json/json_text.h"
#include "codec/json/object_reader.h"
#include "codec/json/parse_object.h"

namespace magnoliareel {
namespace {

constexpr size_t kMaxRecords = 4096;
constexpr size_t kMaxStatementsPerRecord = 4096;
constexpr auto kMaxWatchWait = std::chrono::minutes(1);

constexpr auto kVerbNames = std::to_array<std::string_view>(
    {"connect", "close", "read", "write", "begin", "commit", "rollback",
     "settle", "watch", "adopt", "promote", "follow", "replicate"});

bool ParseVerb(std::string_view word, EndpointVerb& out) {
  const auto it = std::find(kVerbNames.begin(), kVerbNames.end(), word);
  if (it == kVerbNames.end()) {
    return false;
  }
  out = static_cast<EndpointVerb>(it - kVerbNames.begin());
  return true;
}

void SetIfNotEmpty(Json::Value& value,
                   const char* field,
                   const std::string& text) {
  if (!text.empty()) {
    value[field] = text;
  }
}

Json::Value FormatRecord(const LogRecord& record) {
  Json::Value value(Json::objectValue);
  value["term"] = Json::UInt64(record.term.value);
  SetIfNotEmpty(value, "request", record.request);
  SetIfNotEmpty(value, "answer", record.answer);
  for (const std::string& it : record.statements) {
    value["statements"].append(it);
  }
  return value;
}

void ReadRecord(ObjectReader& reader, LogRecord& record) {
  reader.ReadUint64("term", Presence::kRequired, record.term.value);
  reader.ReadString("request", Presence::kOptional, record.request);
  reader.ReadString("answer", Presence::kOptional, record.answer,
                    kMaxAnswerBytes);
  reader.ReadStringArray("statements", Presence::kOptional,
                         kMaxStatementsPerRecord,
                         [&record](const std::string& text) {
                           record.statements.push_back(text);
                         });
  reader.RejectUnknownFields();
}

}  // namespace

std::string FormatEndpointCall(const EndpointCall& call) {
  Json::Value value(Json::objectValue);
  value["verb"] = std::string(kVerbNames.at(static_cast<size_t>(call.verb)));
  value["term"] = Json::UInt64(call.term.value);
  SetIfNotEmpty(value, "client", call.client);
  SetIfNotEmpty(value, "connection", call.connection.value);
  SetIfNotEmpty(value, "request", call.request);
  SetIfNotEmpty(value, "statement", call.statement);
  SetIfNotEmpty(value, "primary_address", call.primary_address);
  if (call.is_recorded) {
    value["recorded"] = true;
  }
  WriteLogPoint(value, "after_term", "after_position", call.after);
  if (call.wait > Duration::zero()) {
    value["wait_ms"] = ToMilliseconds(call.wait);
  }
  return FormatJson(value);
}

EndpointCall ParseEndpointCall(std::string_view body, Findings& findings) {
  return ParseObject<EndpointCall>(
      body, findings, [](ObjectReader& reader, EndpointCall& call) {
        reader.ReadEnum(
            "verb", Presence::kRequired,
            [&call](std::string_view word) {
              return ParseVerb(word, call.verb);
            },
            "the verbs of the endpoint protocol");
        reader.ReadUint64("term", Presence::kRequired, call.term.value);
        reader.ReadString("client", Presence::kOptional, call.client);
        reader.ReadString("connection", Presence::kOptional,
                          call.connection.value);
        reader.ReadString("request", Presence::kOptional, call.request);
        reader.ReadString("statement", Presence::kOptional, call.statement,
                          kMaxStatementBytes);
        reader.ReadString("primary_address", Presence::kOptional,
                          call.primary_address);
        reader.ReadBool("recorded", Presence::kOptional, call.is_recorded);
        ReadLogPoint(reader, "after_term", "after_position", call.after);
        reader.ReadMilliseconds("wait_ms", Presence::kOptional, kMaxWatchWait,
                                call.wait);
      });
}

std::string FormatEndpointAnswer(const EndpointAnswer& answer) {
  Json::Value value(Json::objectValue);
  if (answer.ec) {
    value["error"] = std::string(GetErrorName(answer.ec));
  }
  SetIfNotEmpty(value, "request", answer.request);

  SetIfNotEmpty(value, "answer", answer.answer);
  WriteLogPoint(value, "point_term", "point_position", answer.point);
  value["report"] = EncodeEndpointReport(answer.report);
  for (const LogRecord& it : answer.records) {
    value["records"].append(FormatRecord(it));
  }
  return FormatJson(value);
}

EndpointAnswer ParseEndpointAnswer(std::string_view body, Findings& findings) {
  return ParseObject<EndpointAnswer>(
      body, findings, [](ObjectReader& reader, EndpointAnswer& answer) {
        ReadErrorName(reader, answer.ec);
        reader.ReadString("request", Presence::kOptional, answer.request);

        reader.ReadString("answer", Presence::kOptional, answer.answer,
                          kMaxAnswerBytes);
        ReadLogPoint(reader, "point_term", "point_position", answer.point);
        reader.ReadObject("report", Presence::kRequired,
                          [&answer](ObjectReader& it) {
                            ReadEndpointReport(it, answer.report);
                          });
        reader.ReadObjectArray("records", Presence::kOptional, kMaxRecords,
                               [&answer](ObjectReader& it) {
                                 ReadRecord(it, answer.records.emplace_back());
                               });
      });
}

}  // namespace magnoliareel
