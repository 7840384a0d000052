#include "apps/ctl/document_commands.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <vector>

#include "codec/codec.h"
#include "seal/seal.h"

namespace magnoliareel {
namespace {

constexpr int kMaxWriteAttempts = 5;

bool ReadFile(const std::string& path, std::string& out) {
  std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "%s: cannot be read\n", path.c_str());
    return false;
  }
  out.assign(std::istreambuf_iterator<char>(file),
             std::istreambuf_iterator<char>());
  return true;
}

bool PrintDocumentFindings(const std::string& text, const std::string& name) {
  Findings findings;
  ParseDocument(text, findings);
  if (findings.IsEmpty()) {
    return false;
  }
  std::printf("%s: %zu findings\n%s", name.c_str(), findings.GetList().size(),
              findings.FormatLines().c_str());
  return true;
}

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  for (size_t begin = 0; begin < text.size();) {
    const size_t end = std::min(text.find('\n', begin), text.size());
    lines.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return lines;
}

/** Prints the lines between the common beginning and the common end. */
void PrintDifference(const std::string& before, const std::string& after) {
  const auto old_lines = SplitLines(before);
  const auto new_lines = SplitLines(after);
  const size_t shorter = std::min(old_lines.size(), new_lines.size());
  size_t first = 0;
  while (first < shorter && old_lines[first] == new_lines[first]) {
    ++first;
  }
  size_t last = 0;
  while (last < shorter - first && old_lines[old_lines.size() - 1 - last] ==
                                       new_lines[new_lines.size() - 1 - last]) {
    ++last;
  }
  std::printf("@@ line %zu\n", first + 1);
  for (size_t n = first; n < old_lines.size() - last; ++n) {
    std::printf("-%s\n", old_lines[n].c_str());
  }
  for (size_t n = first; n < new_lines.size() - last; ++n) {
    std::printf("+%s\n", new_lines[n].c_str());
  }
}

}  // namespace

int DocumentCommands::Check(const std::string& path) {
  std::string text;
  if (!ReadFile(path, text)) {
    return kExitFailed;
  }
  if (PrintDocumentFindings(text, path)) {
    return kExitFindings;
  }
  std::printf("%s: no findings; hash %s\n", path.c_str(),
              HashSha256(text).c_str());
  return kExitOk;
}

int DocumentCommands::Diff(const std::string& path) {
  std::string text;
  if (!ReadFile(path, text)) {
    return kExitFailed;
  }
  const auto read = ReadHead(settings_.environment);
  if (!read) {
    return kExitUnreachable;
  }
  std::string present;
  if (read->head.version > 0) {
    auto object = access_.GetObject(read->head.hash);
    if (object.ec) {
      std::fprintf(stderr, "document %s: %s\n", read->head.hash.c_str(),
                   object.ec.message().c_str());
      return kExitUnreachable;
    }
    present = std::move(object.value);
  }
  if (present == text) {
    std::printf("no difference to version %lu\n", read->head.version);
    return kExitOk;
  }
  PrintDifference(present, text);
  return kExitOk;
}

int DocumentCommands::Apply(const std::string& path) {
  std::string text;
  if (!ReadFile(path, text)) {
    return kExitFailed;
  }
  return PrintDocumentFindings(text, path) ? kExitFindings : ApplyText(text);
}

int DocumentCommands::Promote() {
  const auto trial = ReadHead(settings_.trial);
  if (!trial) {
    return kExitUnreachable;
  }
  if (trial->head.version == 0) {
    std::fprintf(stderr,
                 "nothing is in force in '%s'; apply a document there first\n",
                 settings_.trial.c_str());
    return kExitFailed;
  }
  const auto object = access_.GetObject(trial->head.hash);
  if (object.ec) {
    std::fprintf(stderr, "document %s: %s\n", trial->head.hash.c_str(),
                 object.ec.message().c_str());
    return kExitUnreachable;
  }
  if (HashSha256(object.value) != trial->head.hash) {
    std::fprintf(stderr, "document %s: its bytes have another hash\n",
                 trial->head.hash.c_str());
    return kExitFailed;
  }
  return PrintDocumentFindings(object.value, trial->head.hash)
             ? kExitFindings
             : ApplyText(object.value);
}

int DocumentCommands::ShowHistory() {
  const auto read = ReadHead(settings_.environment);
  if (!read) {
    return kExitUnreachable;
  }
  const PlatformKeys keys{settings_.environment};
  for (uint64_t version = read->head.version; version > 0; --version) {
    const RowReply row = access_.GetRow(keys.GetHistory(version));
    Findings findings;
    const DocumentHead head = row.row.value.empty()
                                  ? DocumentHead{}
                                  : ParseDocumentHead(row.row.value, findings);
    const DocumentHead& shown =
        version == read->head.version ? read->head : head;
    if (shown.version == 0) {
      std::printf("%lu (not kept)\n", version);
      continue;
    }
    std::printf("%lu %s %s%s\n", shown.version, shown.hash.c_str(),
                shown.changed_by.c_str(),
                version == read->head.version ? " (in force)" : "");
  }
  return kExitOk;
}

std::optional<DocumentCommands::HeadRow> DocumentCommands::ReadHead(
    const std::string& environment) {
  const RowReply reply = access_.GetRow(PlatformKeys{environment}.GetHead());
  HeadRow result;
  result.row_version = reply.row.version;
  Findings findings;
  if (!reply.ec && !reply.row.value.empty()) {
    result.head = ParseDocumentHead(reply.row.value, findings);
  }
  if (reply.ec || !findings.IsEmpty()) {
    std::fprintf(stderr, "the head of '%s' cannot be read: %s%s\n",
                 environment.c_str(), reply.ec.message().c_str(),
                 findings.FormatLines().c_str());
    return std::nullopt;
  }
  return result;
}

int DocumentCommands::ApplyText(const std::string& text) {
  if (settings_.operator_name.empty()) {
    std::fputs("--operator: missing_field: your name must be given\n", stderr);
    return kExitBadSettings;
  }
  const auto read = ReadHead(settings_.environment);
  if (!read) {
    return kExitUnreachable;
  }
  const DocumentHead next{read->head.version + 1, HashSha256(text),
                          settings_.operator_name, MakeRandomName()};
  const bool is_unexpected =
      settings_.expected_version >= 0 &&
      static_cast<uint64_t>(settings_.expected_version) != read->head.version;
  if (is_unexpected) {
    return ReportConflict(read->head, text);
  }
  if (const auto ec = StoreDocument(next.hash, text)) {
    std::fprintf(stderr, "the document cannot be kept: %s\n",
                 ec.message().c_str());
    return kExitUnreachable;
  }
  return WriteHead(*read, next, text);
}

/** An object is named by its hash, so keeping it twice changes nothing. */
std::error_code DocumentCommands::StoreDocument(const std::string& hash,
                                                const std::string& text) {
  std::error_code ec;
  for (int n = 0; n < kMaxWriteAttempts; ++n) {
    ec = access_.PutObject(hash, text);
    if (!ec) {
      break;
    }
  }
  return ec;
}

int DocumentCommands::WriteHead(const HeadRow& read,
                                const DocumentHead& next,
                                const std::string& text) {
  const TableWrite write{PlatformKeys{settings_.environment}.GetHead(),
                         read.row_version, FormatDocumentHead(next)};
  for (int n = 0; n < kMaxWriteAttempts; ++n) {
    const RowReply reply = access_.CompareAndSet(write);
    if (reply.ec && reply.ec != Error::kVersionConflict) {
      continue;
    }
    // An earlier attempt whose answer was lost shows up as a conflict with
    // this very operation.
    Findings findings;
    const DocumentHead present = ParseDocumentHead(reply.row.value, findings);
    if (findings.IsEmpty() && present.operation == next.operation) {
      StoreHistoryEntry(next);
      std::printf("version %lu is in force in '%s': %s\n", next.version,
                  settings_.environment.c_str(), next.hash.c_str());
      return kExitOk;
    }
    return ReportConflict(present, text);
  }
  std::fputs(
      "the store does not answer; run history to see whether the change took "
      "effect\n",
      stderr);
  return kExitUnreachable;
}

int DocumentCommands::ReportConflict(const DocumentHead& winner,
                                     const std::string& own_text) {
  std::printf("not applied: version %lu by %s came first\n", winner.version,
              winner.changed_by.c_str());
  const auto theirs = access_.GetObject(winner.hash);
  if (theirs.ec) {
    std::fprintf(stderr, "document %s: %s\n", winner.hash.c_str(),
                 theirs.ec.message().c_str());
  } else {
    std::puts("what differs between it and yours:");
    PrintDifference(theirs.value, own_text);
  }
  return kExitConflict;
}

void DocumentCommands::StoreHistoryEntry(const DocumentHead& head) {
  const RowReply reply = access_.CompareAndSet(
      {PlatformKeys{settings_.environment}.GetHistory(head.version), 0,
       FormatDocumentHead(head)});
  if (reply.ec && reply.ec != Error::kVersionConflict) {
    std::fputs(
        "the change is in force, but its entry in the history could not be "
        "kept\n",
        stderr);
  }
}

}  // namespace magnoliareel
