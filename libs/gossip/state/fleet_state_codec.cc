#include "gossip/state/fleet_state_codec.h"

#include <json/json.h>

#include <utility>

#include "codec/json/json_text.h"

namespace magnoliareel {
namespace {

Json::Value EncodeRow(const StoredRow& row) {
  Json::Value value(Json::objectValue);
  value["key"] = row.key;
  value["value"] = row.value;
  value["version"] = Json::UInt64{row.version};
  return value;
}

bool DecodeRow(const Json::Value& value, StoredRow& out) {
  if (!value.isObject() || !value["key"].isString() ||
      !value["value"].isString() || !value["version"].isUInt64()) {
    return false;
  }
  out.key = value["key"].asString();
  out.value = value["value"].asString();
  out.version = value["version"].asUInt64();
  return true;
}

}  // namespace

std::string EncodeFleetState(const FleetState& state) {
  Json::Value root(Json::objectValue);
  if (state.config) {
    root["config"] = EncodeRow(*state.config);
  }
  root["endpoints"] = Json::Value(Json::arrayValue);
  for (const StoredRow& it : state.endpoints) {
    root["endpoints"].append(EncodeRow(it));
  }
  root["endpoints_version"] = Json::UInt64{state.endpoints_version};
  return FormatJson(root);
}

bool DecodeFleetState(std::string_view bytes, FleetState& out) {
  Findings findings;
  const Json::Value root = ParseJsonObject(bytes, findings);
  if (!findings.IsEmpty() || !root["endpoints"].isArray() ||
      !root["endpoints_version"].isUInt64()) {
    return false;
  }
  out.endpoints_version = root["endpoints_version"].asUInt64();
  if (root.isMember("config")) {
    StoredRow row;
    if (!DecodeRow(root["config"], row)) {
      return false;
    }
    out.config = std::move(row);
  }
  for (const Json::Value& it : root["endpoints"]) {
    StoredRow row;
    if (!DecodeRow(it, row)) {
      return false;
    }
    out.endpoints.push_back(std::move(row));
  }
  return true;
}

}  // namespace magnoliareel
