#include "tests/round_trip/database_session.h"

#include <utility>

namespace magnoliareel {
namespace {

/** The fields of a text up to a limit; the last one has the rest. */
std::vector<std::string> Split(std::string_view text, size_t limit) {
  std::vector<std::string> fields;
  while (fields.size() + 1 < limit) {
    const size_t blank = text.find(' ');
    if (blank == std::string_view::npos) {
      break;
    }
    fields.emplace_back(text.substr(0, blank));
    text = text.substr(blank + 1);
  }
  fields.emplace_back(text);
  return fields;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const DatabaseRun& run) {
  return out << run.id << " after[" << run.after << "] " << run.prepared_as
             << "[" << run.text << "][" << run.arguments << "]";
}

bool DatabaseSession::Receive(std::string_view line) {
  const std::vector<std::string> fields = Split(line, 3);
  return fields.size() == 3 && fields[0] == "QUERY" && !fields[1].empty() &&
         ReceiveText(fields[1], fields[2]);
}

bool DatabaseSession::ReceiveText(std::string id, std::string_view text) {
  DatabaseRun run;
  run.id = std::move(id);
  if (text.starts_with("AFTER ")) {
    const std::vector<std::string> fields = Split(text, 3);
    if (fields.size() != 3) {
      return false;
    }
    run.after = fields[1];
    text = text.substr(text.size() - fields[2].size());
  }
  const std::string verb = Split(text, 2).front();
  if (verb == "READ" || verb == "WRITE" || verb == "COMMIT") {
    run.text = text;
    runs_.push_back(std::move(run));
    return true;
  }
  if (verb == "SET") {
    const std::vector<std::string> fields = Split(text, 3);
    if (fields.size() != 3 || fields[1].empty()) {
      return false;
    }
    values_[fields[1]] = fields[2];
    return true;
  }
  if (verb == "PREPARE") {
    const std::vector<std::string> fields = Split(text, 4);
    if (fields.size() != 4 || fields[1].empty() ||
        (fields[2] != "READ" && fields[2] != "WRITE")) {
      return false;
    }
    prepared_[fields[1]] = {fields[2], fields[3]};
    return true;
  }
  if (verb == "EXECUTE") {
    const std::vector<std::string> fields = Split(text, 3);
    if (fields.size() < 2) {
      return false;
    }
    const auto it = prepared_.find(fields[1]);
    if (it == prepared_.end()) {
      return false;
    }
    run.text = it->second.shape;
    run.prepared_as = it->second.kind;
    run.arguments = text.substr(verb.size() + 1 + fields[1].size());
    runs_.push_back(std::move(run));
    return true;
  }
  if (verb == "DEALLOC") {
    return prepared_.erase(std::string(text.substr(verb.size() + 1))) > 0;
  }
  return text == "BEGIN" || text == "BEGIN READ" || text == "ROLLBACK" ||
         text == "RESET" || text == "STATUS";
}

}  // namespace magnoliareel
