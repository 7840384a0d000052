#include "gossip/state/node_status.h"

#include <json/json.h>

#include "codec/json/json_text.h"

namespace magnoliareel {

std::string EncodeNodeStatus(const NodeStatus& status) {
  Json::Value root(Json::objectValue);
  root["vm"] = status.vm.value;
  root["site"] = status.site.value;
  root["ready"] = status.ready;
  root["store_connected"] = status.store_connected;
  root["config_version"] = Json::UInt64{status.config_version};
  root["directory_version"] = Json::UInt64{status.directory_version};
  root["live_vms"] = status.live_vms;
  root["sessions"] = Json::UInt64{status.sessions};
  root["duties"] = Json::Value(Json::objectValue);
  for (const HeldDuty& it : status.duties) {
    root["duties"][it.service.value] = Json::UInt64{it.fencing_token};
  }
  root["leaders"] = Json::Value(Json::objectValue);
  for (const KnownPrimary& it : status.primaries) {
    root["leaders"][it.service.value] = it.endpoint.value;
  }
  return FormatJson(root);
}

bool DecodeNodeStatus(std::string_view bytes, NodeStatus& out) {
  Findings findings;
  const Json::Value root = ParseJsonObject(bytes, findings);
  if (!findings.IsEmpty() || !root["vm"].isString() ||
      !root["site"].isString() || !root["ready"].isBool() ||
      !root["store_connected"].isBool() || !root["config_version"].isUInt64() ||
      !root["directory_version"].isUInt64() || !root["live_vms"].isUInt() ||
      !root["sessions"].isUInt64() || !root["duties"].isObject() ||
      !root["leaders"].isObject()) {
    return false;
  }
  out.vm.value = root["vm"].asString();
  out.site.value = root["site"].asString();
  out.ready = root["ready"].asBool();
  out.store_connected = root["store_connected"].asBool();
  out.config_version = root["config_version"].asUInt64();
  out.directory_version = root["directory_version"].asUInt64();
  out.live_vms = root["live_vms"].asUInt();
  out.sessions = root["sessions"].asUInt64();
  for (const std::string& it : root["duties"].getMemberNames()) {
    if (!root["duties"][it].isUInt64()) {
      return false;
    }
    out.duties.push_back({ServiceId{it}, root["duties"][it].asUInt64()});
  }
  for (const std::string& it : root["leaders"].getMemberNames()) {
    if (!root["leaders"][it].isString()) {
      return false;
    }
    out.primaries.push_back(
        {ServiceId{it}, EndpointId{root["leaders"][it].asString()}});
  }
  return true;
}

}  // namespace magnoliareel
