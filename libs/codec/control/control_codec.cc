#include "codec/control/control_codec.h"

#include "codec/endpoint/report_codec.h"
#include "codec/json/object_reader.h"
#include "codec/json/parse_object.h"

namespace magnoliareel {
namespace {

constexpr size_t kMaxDocumentBytes = 16 * 1024 * 1024;
constexpr size_t kMaxArraySize = 65536;

Json::Value EncodeEndpointStatus(const EndpointStatus& status) {
  Json::Value value(Json::objectValue);
  value["endpoint"] = status.endpoint.value;
  value["reachable"] = status.is_reachable;
  if (status.report) {
    value["report"] = EncodeEndpointReport(*status.report);
  }
  return value;
}

void ReadEndpointStatus(ObjectReader& reader, EndpointStatus& status) {
  reader.ReadString("endpoint", Presence::kRequired, status.endpoint.value);
  reader.ReadBool("reachable", Presence::kRequired, status.is_reachable);
  reader.ReadObject("report", Presence::kOptional, [&status](ObjectReader& it) {
    ReadEndpointReport(it, status.report.emplace());
  });
  reader.RejectUnknownFields();
}

Json::Value EncodeGroupStatus(const GroupStatus& status) {
  Json::Value value(Json::objectValue);
  value["group"] = status.group.value;
  value["primary"] = status.primary.value;
  value["term"] = Json::UInt64(status.term.value);
  for (const EndpointStatus& it : status.endpoints) {
    value["endpoints"].append(EncodeEndpointStatus(it));
  }
  return value;
}

void ReadGroupStatus(ObjectReader& reader, GroupStatus& status) {
  reader.ReadString("group", Presence::kRequired, status.group.value);
  reader.ReadString("primary", Presence::kOptional, status.primary.value);
  reader.ReadUint64("term", Presence::kRequired, status.term.value);
  reader.ReadObjectArray("endpoints", Presence::kOptional, kMaxArraySize,
                         [&status](ObjectReader& it) {
                           ReadEndpointStatus(it,
                                              status.endpoints.emplace_back());
                         });
  reader.RejectUnknownFields();
}

void ReadRunnerStatus(ObjectReader& reader, RunnerStatus& status) {
  reader.ReadString("endpoint", Presence::kRequired, status.endpoint.value);
  reader.ReadUint64("waiting", Presence::kRequired, status.waiting);
  reader.ReadUint64("connections", Presence::kRequired, status.connections);
  reader.RejectUnknownFields();
}

}  // namespace

Json::Value EncodeObserveRequest(const ObserveRequest& request) {
  Json::Value value(Json::objectValue);
  value["group"] = request.group.value;
  value["endpoint"] = request.endpoint.value;
  return value;
}

ObserveRequest DecodeObserveRequest(const Json::Value& value,
                                    Findings& findings) {
  return DecodeObject<ObserveRequest>(
      value, findings, [](ObjectReader& reader, ObserveRequest& out) {
        reader.ReadString("group", Presence::kRequired, out.group.value);
        reader.ReadString("endpoint", Presence::kRequired, out.endpoint.value);
      });
}

Json::Value EncodeObserveAnswer(const ObserveAnswer& answer) {
  Json::Value value(Json::objectValue);
  value["watched"] = answer.is_watched;
  value["reachable"] = answer.is_reachable;
  return value;
}

ObserveAnswer DecodeObserveAnswer(const Json::Value& value,
                                  Findings& findings) {
  return DecodeObject<ObserveAnswer>(
      value, findings, [](ObjectReader& reader, ObserveAnswer& out) {
        reader.ReadBool("watched", Presence::kRequired, out.is_watched);
        reader.ReadBool("reachable", Presence::kRequired, out.is_reachable);
      });
}

Json::Value EncodeDocumentOffer(const DocumentOffer& offer) {
  Json::Value value(Json::objectValue);
  value["version"] = Json::UInt64(offer.version);
  value["text"] = offer.text;
  return value;
}

DocumentOffer DecodeDocumentOffer(const Json::Value& value,
                                  Findings& findings) {
  return DecodeObject<DocumentOffer>(
      value, findings, [](ObjectReader& reader, DocumentOffer& out) {
        reader.ReadUint64("version", Presence::kRequired, out.version);
        reader.ReadString("text", Presence::kOptional, out.text,
                          kMaxDocumentBytes);
      });
}

Json::Value EncodePromoteRequest(const PromoteRequest& request) {
  Json::Value value(Json::objectValue);
  value["group"] = request.group.value;
  return value;
}

PromoteRequest DecodePromoteRequest(const Json::Value& value,
                                    Findings& findings) {
  return DecodeObject<PromoteRequest>(
      value, findings, [](ObjectReader& reader, PromoteRequest& out) {
        reader.ReadString("group", Presence::kRequired, out.group.value);
      });
}

Json::Value EncodePoolerStatus(const PoolerStatus& status) {
  Json::Value value(Json::objectValue);
  value["vm"] = status.vm.value;
  value["version"] = Json::UInt64(status.version);
  value["hash"] = status.hash;
  value["in_progress"] = Json::UInt64(status.in_progress);
  value["transactions"] = Json::UInt64(status.transactions);
  for (const GroupStatus& it : status.groups) {
    value["groups"].append(EncodeGroupStatus(it));
  }
  for (const RunnerStatus& it : status.runners) {
    Json::Value entry(Json::objectValue);
    entry["endpoint"] = it.endpoint.value;
    entry["waiting"] = Json::UInt64(it.waiting);
    entry["connections"] = Json::UInt64(it.connections);
    value["runners"].append(std::move(entry));
  }
  return value;
}

PoolerStatus DecodePoolerStatus(const Json::Value& value, Findings& findings) {
  return DecodeObject<PoolerStatus>(
      value, findings, [](ObjectReader& reader, PoolerStatus& out) {
        reader.ReadString("vm", Presence::kRequired, out.vm.value);
        reader.ReadUint64("version", Presence::kRequired, out.version);
        reader.ReadString("hash", Presence::kOptional, out.hash);
        reader.ReadUint64("in_progress", Presence::kRequired, out.in_progress);
        reader.ReadUint64("transactions", Presence::kRequired,
                          out.transactions);
        reader.ReadObjectArray("groups", Presence::kOptional, kMaxArraySize,
                               [&out](ObjectReader& it) {
                                 ReadGroupStatus(it, out.groups.emplace_back());
                               });
        reader.ReadObjectArray("runners", Presence::kOptional, kMaxArraySize,
                               [&out](ObjectReader& it) {
                                 ReadRunnerStatus(it,
                                                  out.runners.emplace_back());
                               });
      });
}

}  // namespace magnoliareel
