#include "standins/site/store_model.h"

#include <json/json.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "codec/json/json_text.h"

namespace magnoliareel {
namespace {

std::string DecodePercentEncoding(std::string_view text) {
  std::string out;
  for (size_t it = 0; it < text.size(); ++it) {
    if (text[it] == '%' && it + 2 < text.size()) {
      const std::string hex(text.substr(it + 1, 2));
      out.push_back(static_cast<char>(std::strtol(hex.c_str(), nullptr, 16)));
      it += 2;
    } else {
      out.push_back(text[it]);
    }
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(std::string_view target) {
  std::map<std::string, std::string> fields;
  const size_t mark = target.find('?');
  std::string_view rest =
      mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view field = rest.substr(0, end);
    const size_t equals = field.find('=');
    if (equals != std::string_view::npos) {
      fields[std::string(field.substr(0, equals))] =
          DecodePercentEncoding(field.substr(equals + 1));
    }
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  }
  return fields;
}

std::string EncodeBase64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t it = 0; it < bytes.size(); it += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      const size_t at = it + k;
      bits = bits << 8 |
             (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      const bool padded = it + k > bytes.size();
      out.push_back(padded ? '=' : kDigits[bits >> (18 - 6 * k) & 63]);
    }
  }
  return out;
}

}  // namespace

int64_t StoreModel::GetPollTimeoutMs(std::string_view target) {
  const auto fields = ParseQuery(target);
  const auto it = fields.find("wait-ms");
  return it == fields.end() ? 0 : std::atoll(it->second.c_str());
}

uint64_t StoreModel::Handle(std::string_view method,
                            std::string_view target,
                            const std::string& body,
                            Answer answer) {
  if (is_down_) {
    answer(503, "");
    return 0;
  }
  auto fields = ParseQuery(target);
  const std::string path(target.substr(0, target.find('?')));
  if (method == "POST" && path == "/v1/rows-tx") {
    ExecuteTransaction(body, answer);
    return 0;
  }
  const std::string& table = fields["table"];
  if (method == "GET" && path == "/v1/rows-get") {
    answer(200, FormatRows(table, 0, false, fields["from"], fields["to"]));
    return 0;
  }
  if (method != "GET" || path != "/v1/rows-feed") {
    answer(404, "");
    return 0;
  }
  const auto after = std::strtoull(fields["after"].c_str(), nullptr, 10);
  if (after < oldest_version_ || after > version_) {
    answer(410, "");
    return 0;
  }
  const Table& rows = tables_[table];
  if (std::any_of(rows.begin(), rows.end(), [&](const auto& row) {
        return row.second.version > after;
      })) {
    answer(200, FormatRows(table, after, true, "", ""));
    return 0;
  }
  pending_polls_[next_poll_id_] = {table, after, std::move(answer)};
  return next_poll_id_++;
}

void StoreModel::TakeCopy() {
  copied_tables_ = tables_;
  copied_version_ = version_;
}

void StoreModel::RestoreCopy() {
  tables_ = copied_tables_;
  version_ = copied_version_;
  ++era_;
  for (const auto& [id, poll] : std::exchange(pending_polls_, {})) {
    poll.answer(503, "");
  }
}

void StoreModel::AnswerPendingPoll(uint64_t poll_id) {
  const auto it = pending_polls_.find(poll_id);
  if (it == pending_polls_.end()) {
    return;
  }
  const PendingPoll poll = std::move(it->second);
  pending_polls_.erase(it);
  poll.answer(200, FormatRows(poll.table, poll.after, true, "", ""));
}

void StoreModel::ExecuteTransaction(const std::string& body,
                                    const Answer& answer) {
  Findings findings;
  const Json::Value root = ParseJsonObject(body, findings);
  if (!findings.IsEmpty()) {
    answer(400, "");
    return;
  }
  for (const Json::Value& it : root["precondition"]) {
    const Table& table = tables_[it["table"].asString()];
    const auto row = table.find(it["key"].asString());
    const uint64_t present =
        row == table.end() || row->second.is_removed ? 0 : row->second.version;
    if (present != it["ver"].asUInt64()) {
      answer(412, R"({"rows":[],"ver":)" + std::to_string(version_) + "}");
      return;
    }
  }
  ++version_;
  for (const Json::Value& it : root["puts"]) {
    tables_[it["table"].asString()][it["key"].asString()] = {
        it["value"].asString(), version_, false};
  }
  answer(200, R"({"ver":)" + std::to_string(version_) + R"(,"now-ms":0})");
  for (const Json::Value& it : root["puts"]) {
    AnswerPendingPolls(it["table"].asString());
  }
}

void StoreModel::Put(const std::string& table,
                     const std::string& key,
                     std::string value) {
  tables_[table][key] = {EncodeBase64(value), ++version_, false};
  AnswerPendingPolls(table);
}

void StoreModel::Remove(const std::string& table, const std::string& key) {
  tables_[table][key] = {"", ++version_, true};
  AnswerPendingPolls(table);
}

void StoreModel::AnswerPendingPolls(const std::string& table) {
  std::vector<uint64_t> ready;
  for (const auto& [id, poll] : pending_polls_) {
    if (poll.table == table) {
      ready.push_back(id);
    }
  }
  for (const uint64_t it : ready) {
    AnswerPendingPoll(it);
  }
}

std::string StoreModel::FormatRows(const std::string& table,
                                   uint64_t after,
                                   bool with_removed,
                                   std::string_view from,
                                   std::string_view to) const {
  Json::Value root(Json::objectValue);
  root["rows"] = Json::Value(Json::arrayValue);
  root["has-more"] = false;
  root["ver"] = Json::UInt64{version_};
  root["now-ms"] = 0;
  const auto rows = tables_.find(table);
  if (rows != tables_.end()) {
    for (const auto& [key, row] : rows->second) {
      const bool inside = key >= from && (to.empty() || key < to);
      if (row.version <= after || !inside ||
          (row.is_removed && !with_removed)) {
        continue;
      }
      Json::Value value(Json::objectValue);
      value["table"] = table;
      value["part"] = "";
      value["key"] = key;
      value["ver"] = Json::UInt64{row.version};
      if (row.is_removed) {
        value["tombstone"] = true;
      } else {
        value["value"] = row.value;
      }
      root["rows"].append(std::move(value));
    }
  }
  return FormatJson(root);
}

}  // namespace magnoliareel
