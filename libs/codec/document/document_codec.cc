#include "codec/document/document_codec.h"

#include "codec/json/common_fields.h"
#include "codec/json/json_text.h"
#include "codec/json/object_reader.h"

namespace magnoliareel {
namespace {

constexpr size_t kMaxServices = 256;
constexpr size_t kMaxGroupsPerService = 1024;
constexpr size_t kMaxEndpointsPerGroup = 15;
constexpr size_t kMaxCallers = 65536;
constexpr size_t kMaxKeysPerCaller = 4;
constexpr int64_t kMaxSlots = 1000;
constexpr int64_t kMaxConnections = 10000;
constexpr Duration kDefaultDeadline = std::chrono::seconds(5);
constexpr Duration kDefaultMaxDeadline = std::chrono::minutes(10);
constexpr Duration kDefaultTransactionIdleLimit = std::chrono::seconds(30);

void ReadEndpoint(ObjectReader& reader, EndpointConfig& endpoint) {
  reader.ReadString("name", Presence::kRequired, endpoint.endpoint.value);
  reader.ReadString("site", Presence::kRequired, endpoint.site.value);
  reader.ReadNumber("slots", Presence::kRequired, 1, kMaxSlots, endpoint.slots);
  reader.ReadNumber("connections", Presence::kRequired, 1, kMaxConnections,
                    endpoint.connections);
  reader.RejectUnknownFields();
}

void ReadGroup(ObjectReader& reader, GroupConfig& group) {
  reader.ReadString("name", Presence::kRequired, group.group.value);
  reader.ReadObjectArray("endpoints", Presence::kRequired,
                         kMaxEndpointsPerGroup, [&group](ObjectReader& it) {
                           ReadEndpoint(it, group.endpoints.emplace_back());
                         });
  reader.RejectUnknownFields();
}

void ReadService(ObjectReader& reader, ServiceConfig& service) {
  service.default_deadline = kDefaultDeadline;
  service.max_deadline = kDefaultMaxDeadline;
  service.transaction_idle_limit = kDefaultTransactionIdleLimit;
  reader.ReadString("name", Presence::kRequired, service.service.value);
  reader.ReadMilliseconds("default_deadline_ms", Presence::kOptional,
                          kMaxDeadline, service.default_deadline);
  reader.ReadMilliseconds("max_deadline_ms", Presence::kOptional, kMaxDeadline,
                          service.max_deadline);
  reader.ReadMilliseconds("transaction_idle_limit_ms", Presence::kOptional,
                          kMaxDeadline, service.transaction_idle_limit);
  reader.ReadObjectArray("groups", Presence::kRequired, kMaxGroupsPerService,
                         [&service](ObjectReader& it) {
                           ReadGroup(it, service.groups.emplace_back());
                         });
  reader.RejectUnknownFields();
}

void ReadCaller(ObjectReader& reader, CallerConfig& caller) {
  reader.ReadString("name", Presence::kRequired, caller.caller.value);
  reader.ReadStringArray("key_hashes", Presence::kRequired, kMaxKeysPerCaller,
                         [&caller](const std::string& hash) {
                           caller.key_hashes.push_back(hash);
                         });
  reader.ReadStringArray("services", Presence::kRequired, kMaxServices,
                         [&caller](const std::string& name) {
                           caller.services.push_back({name});
                         });
  reader.RejectUnknownFields();
}

}  // namespace

Document ParseDocument(std::string_view text, Findings& findings) {
  Document document;
  const Json::Value value = ParseJsonObject(text, findings);
  if (!findings.IsEmpty()) {
    return document;
  }
  ObjectReader reader(value, "", findings);
  reader.ReadObjectArray("services", Presence::kRequired, kMaxServices,
                         [&document](ObjectReader& it) {
                           ReadService(it, document.services.emplace_back());
                         });
  reader.ReadObjectArray("callers", Presence::kRequired, kMaxCallers,
                         [&document](ObjectReader& it) {
                           ReadCaller(it, document.callers.emplace_back());
                         });
  reader.RejectUnknownFields();
  if (findings.IsEmpty()) {
    CheckDocument(document, findings);
  }
  return document;
}

}  // namespace magnoliareel
