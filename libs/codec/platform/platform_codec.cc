#include "codec/platform/platform_codec.h"

#include "codec/json/common_fields.h"
#include "codec/json/json_text.h"
#include "codec/json/object_reader.h"
#include "codec/json/parse_object.h"

namespace magnoliareel {
namespace {

constexpr size_t kMaxVmCount = 4096;
constexpr size_t kMaxGrantCount = 16;
constexpr size_t kMaxRowValueBytes = 64 * 1024;

}  // namespace

std::string FormatTableRow(const TableRow& row) {
  Json::Value value(Json::objectValue);
  value["value"] = row.value;
  value["version"] = Json::UInt64(row.version);
  return FormatJson(value);
}

TableRow ParseTableRow(std::string_view body, Findings& findings) {
  return ParseObject<TableRow>(
      body, findings, [](ObjectReader& reader, TableRow& row) {
        reader.ReadString("value", Presence::kOptional, row.value,
                          kMaxRowValueBytes);
        reader.ReadUint64("version", Presence::kRequired, row.version);
      });
}

std::string FormatVmList(std::span<const VmEntry> vms) {
  Json::Value value(Json::objectValue);
  value["vms"] = Json::Value(Json::arrayValue);
  for (const VmEntry& it : vms) {
    Json::Value entry(Json::objectValue);
    entry["vm"] = it.vm.value;
    entry["site"] = it.site.value;
    entry["entry"] = it.entry_address;
    entry["pooler"] = it.pooler_address;
    entry["state"] = it.is_leaving ? "leaving" : "live";
    value["vms"].append(std::move(entry));
  }
  return FormatJson(value);
}

std::vector<VmEntry> ParseVmList(std::string_view body, Findings& findings) {
  using List = std::vector<VmEntry>;
  return ParseObject<List>(body, findings, [](ObjectReader& reader, List& vms) {
    reader.ReadObjectArray(
        "vms", Presence::kRequired, kMaxVmCount, [&vms](ObjectReader& it) {
          VmEntry& vm = vms.emplace_back();
          it.ReadString("vm", Presence::kRequired, vm.vm.value);
          it.ReadString("site", Presence::kRequired, vm.site.value);
          it.ReadString("entry", Presence::kRequired, vm.entry_address);
          it.ReadString("pooler", Presence::kRequired, vm.pooler_address);
          it.ReadEnum(
              "state", Presence::kRequired,
              [&vm](std::string_view word) {
                vm.is_leaving = word == "leaving";
                return word == "leaving" || word == "live";
              },
              "live, leaving");
          it.RejectUnknownFields();
        });
  });
}

std::string FormatGrantRow(const GrantRow& row) {
  Json::Value value(Json::objectValue);
  value["highest"] = Json::UInt64(row.highest.value);
  value["grants"] = Json::Value(Json::arrayValue);
  for (const TermGrant& it : row.grants) {
    Json::Value grant(Json::objectValue);
    grant["vm"] = it.vm.value;
    grant["incarnation"] = it.incarnation;
    grant["term"] = Json::UInt64(it.term.value);
    value["grants"].append(std::move(grant));
  }
  return FormatJson(value);
}

GrantRow ParseGrantRow(std::string_view body, Findings& findings) {
  return ParseObject<GrantRow>(
      body, findings, [](ObjectReader& reader, GrantRow& row) {
        reader.ReadUint64("highest", Presence::kRequired, row.highest.value);
        reader.ReadObjectArray(
            "grants", Presence::kRequired, kMaxGrantCount,
            [&row](ObjectReader& it) {
              TermGrant& grant = row.grants.emplace_back();
              it.ReadString("vm", Presence::kRequired, grant.vm.value);
              it.ReadString("incarnation", Presence::kRequired,
                            grant.incarnation);
              it.ReadUint64("term", Presence::kRequired, grant.term.value);
              it.RejectUnknownFields();
            });
      });
}

std::string FormatDocumentHead(const DocumentHead& head) {
  Json::Value value(Json::objectValue);
  value["version"] = Json::UInt64(head.version);
  value["hash"] = head.hash;
  value["changed_by"] = head.changed_by;
  value["operation"] = head.operation;
  return FormatJson(value);
}

DocumentHead ParseDocumentHead(std::string_view body, Findings& findings) {
  return ParseObject<DocumentHead>(
      body, findings, [](ObjectReader& reader, DocumentHead& head) {
        reader.ReadUint64("version", Presence::kRequired, head.version);
        reader.ReadString("hash", Presence::kRequired, head.hash);
        reader.ReadString("changed_by", Presence::kRequired, head.changed_by);
        reader.ReadString("operation", Presence::kRequired, head.operation);
      });
}

std::string FormatTableWrite(const TableWrite& write) {
  Json::Value value(Json::objectValue);
  value["key"] = write.key;
  value["expected_version"] = Json::UInt64(write.expected_version);
  value["value"] = write.value;
  return FormatJson(value);
}

TableWrite ParseTableWrite(std::string_view body, Findings& findings) {
  return ParseObject<TableWrite>(
      body, findings, [](ObjectReader& reader, TableWrite& write) {
        reader.ReadString("key", Presence::kRequired, write.key);
        reader.ReadUint64("expected_version", Presence::kRequired,
                          write.expected_version);
        reader.ReadString("value", Presence::kRequired, write.value,
                          kMaxRowValueBytes);
      });
}

}  // namespace magnoliareel
