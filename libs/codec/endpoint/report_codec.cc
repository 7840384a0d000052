#include "codec/endpoint/report_codec.h"

#include "codec/json/common_fields.h"

namespace magnoliareel {
namespace {

constexpr size_t kMaxLineageTerms = 65536;

}  // namespace

Json::Value EncodeEndpointReport(const EndpointReport& report) {
  Json::Value value(Json::objectValue);
  value["role"] = report.role == EndpointRole::kPrimary ? "primary" : "replica";
  value["term"] = Json::UInt64(report.term.value);
  WriteLogPoint(value, "last_term", "last_position", report.last);
  for (const auto& [term, start] : report.lineage) {
    Json::Value entry(Json::objectValue);
    entry["term"] = Json::UInt64(term.value);
    entry["start"] = Json::UInt64(start.value);
    value["lineage"].append(std::move(entry));
  }
  if (report.is_leaving) {
    value["leaving"] = true;
  }
  return value;
}

void ReadEndpointReport(ObjectReader& reader, EndpointReport& report) {
  reader.ReadEnum(
      "role", Presence::kRequired,
      [&report](std::string_view word) {
        if (word != "primary" && word != "replica") {
          return false;
        }
        report.role =
            word == "primary" ? EndpointRole::kPrimary : EndpointRole::kReplica;
        return true;
      },
      "primary, replica");
  reader.ReadUint64("term", Presence::kRequired, report.term.value);
  ReadLogPoint(reader, "last_term", "last_position", report.last);
  reader.ReadObjectArray(
      "lineage", Presence::kOptional, kMaxLineageTerms,
      [&report](ObjectReader& it) {
        TermStart entry;
        it.ReadUint64("term", Presence::kRequired, entry.term.value);
        it.ReadUint64("start", Presence::kRequired, entry.start.value);
        it.RejectUnknownFields();
        report.lineage.push_back(entry);
      });
  reader.ReadBool("leaving", Presence::kOptional, report.is_leaving);
  reader.RejectUnknownFields();
}

}  // namespace magnoliareel
