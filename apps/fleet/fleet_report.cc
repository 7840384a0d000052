#include "apps/fleet/fleet_report.h"

#include <json/json.h>

#include <algorithm>
#include <initializer_list>
#include <utility>

#include "codec/json/json_text.h"

namespace magnoliareel {
namespace {

// Appends a row of cells that are padded to a common width. The last cell is
// not padded.
void AppendRow(std::string& out, std::initializer_list<std::string> cells) {
  constexpr size_t kCellWidth = 20;
  for (const std::string& it : cells) {
    out += it;
    out.append(std::max(kCellWidth, it.size() + 1) - it.size(), ' ');
  }
  out.erase(out.find_last_not_of(' ') + 1);
  out += '\n';
}

std::string FormatRole(const FleetEndpoint& endpoint) {
  if (!endpoint.status) {
    return "no answer";
  }
  return endpoint.status->is_primary ? "primary" : "replica";
}

Json::Value MakeNode(const FleetNode& node) {
  Json::Value value(Json::objectValue);
  value["vm"] = node.vm.value;
  value["address"] = node.address.Format();
  value["answers"] = node.status.has_value();
  if (node.status) {
    value["ready"] = node.status->ready;
    value["config_version"] = Json::UInt64{node.status->config_version};
    value["directory_version"] = Json::UInt64{node.status->directory_version};
    value["live_vms"] = node.status->live_vms;
    value["store_connected"] = node.status->store_connected;
    for (const KnownPrimary& it : node.status->primaries) {
      value["primaries"][it.service.value] = it.endpoint.value;
    }
  }
  return value;
}

Json::Value MakeEndpoint(const FleetEndpoint& endpoint) {
  Json::Value value(Json::objectValue);
  value["id"] = endpoint.entry.id.value;
  value["service"] = endpoint.entry.service.value;
  value["draining"] = endpoint.entry.draining;
  value["answers"] = endpoint.status.has_value();
  if (endpoint.status) {
    value["role"] = FormatRole(endpoint);
    value["term"] = Json::UInt64{endpoint.status->term.value};
    value["received"] = FormatLogPoint(endpoint.status->received);
    value["lag_ms"] = Json::Int64{endpoint.status->lag.count() / 1000};
  }
  return value;
}

}  // namespace

std::string FormatTables(const FleetReport& report) {
  std::string out =
      "configuration " + std::to_string(report.config_version) + "\n\n";
  AppendRow(
      out, {"VM", "SITE", "READY", "CONFIG", "DIRECTORY", "LIVE VMS", "STORE"});
  for (const FleetNode& it : report.nodes) {
    if (!it.status) {
      AppendRow(out, {it.vm.value, "-", "no answer"});
      continue;
    }
    AppendRow(out, {it.vm.value, it.status->site.value,
                    it.status->ready ? "yes" : "no",
                    std::to_string(it.status->config_version),
                    std::to_string(it.status->directory_version),
                    std::to_string(it.status->live_vms),
                    it.status->store_connected ? "yes" : "no"});
  }
  out += '\n';
  AppendRow(out, {"ENDPOINT", "SERVICE", "STATE", "ROLE", "TERM", "RECEIVED",
                  "LAG MS"});
  for (const FleetEndpoint& it : report.endpoints) {
    const ReplicationStatus status = it.status.value_or(ReplicationStatus{});
    AppendRow(out, {it.entry.id.value, it.entry.service.value,
                    it.entry.draining ? "draining" : "ready", FormatRole(it),
                    std::to_string(status.term.value),
                    FormatLogPoint(status.received),
                    std::to_string(status.lag.count() / 1000)});
  }
  out += '\n';
  AppendRow(out, {"SERVICE", "DUTY HOLDER", "FENCING TOKEN"});
  for (const FleetDuty& it : report.duties) {
    AppendRow(out, {it.service.value, it.holder.value,
                    std::to_string(it.fencing_token)});
  }
  return out;
}

std::string FormatJson(const FleetReport& report) {
  Json::Value root(Json::objectValue);
  root["config_version"] = Json::UInt64{report.config_version};
  for (const char* name : {"nodes", "endpoints", "duties"}) {
    root[name] = Json::Value(Json::arrayValue);
  }
  for (const FleetNode& it : report.nodes) {
    root["nodes"].append(MakeNode(it));
  }
  for (const FleetEndpoint& it : report.endpoints) {
    root["endpoints"].append(MakeEndpoint(it));
  }
  for (const FleetDuty& it : report.duties) {
    Json::Value duty(Json::objectValue);
    duty["service"] = it.service.value;
    duty["holder"] = it.holder.value;
    duty["fencing_token"] = Json::UInt64{it.fencing_token};
    root["duties"].append(std::move(duty));
  }
  return FormatJson(root) + "\n";
}

}  // namespace magnoliareel
