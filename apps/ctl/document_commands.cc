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

/** Checks a document and prints its findings.

    @param text  the document
    @param name  name of the document in the output
    @returns     true if there are findings
*/
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

/** Prints the lines between the common prefix and the common suffix of two
    texts. */
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
  std::string current;
  if (read->head.version > 0) {
    auto object = client_.GetObject(read->head.hash);
    if (object.ec) {
      std::fprintf(stderr, "document %s: %s\n", read->head.hash.c_str(),
                   object.ec.message().c_str());
      return kExitUnreachable;
    }
    current = std::move(object.value);
  }
  if (current == text) {
    std::printf("no difference to version %lu\n", read->head.version);
    return kExitOk;
  }
  PrintDifference(current, text);
  return kExitOk;
}

int DocumentCommands::Apply(const std::string& path) {
  std::string text;
  if (!ReadFile(path, text)) {
    return kExitFailed;
  }
  return PrintDocumentFindings(text, path) ? kExitFindings
                                           : ApplyDocument(text);
}

int DocumentCommands::Promote() {
  const auto trial = ReadHead(settings_.trial_environment);
  if (!trial) {
    return kExitUnreachable;
  }
  if (trial->head.version == 0) {
    std::fprintf(stderr,
                 "no document is in force in environment '%s'; apply one there "
                 "first\n",
                 settings_.trial_environment.c_str());
    return kExitFailed;
  }
  const auto object = client_.GetObject(trial->head.hash);
  if (object.ec) {
    std::fprintf(stderr, "document %s: %s\n", trial->head.hash.c_str(),
                 object.ec.message().c_str());
    return kExitUnreachable;
  }
  if (HashSha256(object.value) != trial->head.hash) {
    std::fprintf(stderr,
                 "document %s: the stored content does not match this hash\n",
                 trial->head.hash.c_str());
    return kExitFailed;
  }
  return PrintDocumentFindings(object.value, trial->head.hash)
             ? kExitFindings
             : ApplyDocument(object.value);
}

int DocumentCommands::ShowHistory() {
  const auto read = ReadHead(settings_.environment);
  if (!read) {
    return kExitUnreachable;
  }
  const PlatformKeys keys{settings_.environment};
  for (uint64_t version = read->head.version; version > 0; --version) {
    const RowReply row = client_.GetRow(keys.GetHistory(version));
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
  const RowReply reply = client_.GetRow(PlatformKeys{environment}.GetHead());
  HeadRow result;
  result.row_version = reply.row.version;
  Findings findings;
  if (!reply.ec && !reply.row.value.empty()) {
    result.head = ParseDocumentHead(reply.row.value, findings);
  }
  if (reply.ec || !findings.IsEmpty()) {
    std::fprintf(stderr,
                 "the document head of environment '%s' cannot be read: %s%s\n",
                 environment.c_str(), reply.ec.message().c_str(),
                 findings.FormatLines().c_str());
    return std::nullopt;
  }
  return result;
}

int DocumentCommands::ApplyDocument(const std::string& text) {
  if (settings_.operator_name.empty()) {
    std::fputs("--operator: missing_field: your name must be given\n", stderr);
    return kExitBadSettings;
  }
  const auto read = ReadHead(settings_.environment);
  if (!read) {
    return kExitUnreachable;
  }
  const DocumentHead next{read->head.version + 1, HashSha256(text),
                          settings_.operator_name, MakeRandomId()};
  const bool is_version_conflict =
      settings_.expected_version >= 0 &&
      static_cast<uint64_t>(settings_.expected_version) != read->head.version;
  if (is_version_conflict) {
    return ReportConflict(read->head, text);
  }
  if (const auto ec = StoreDocument(next.hash, text)) {
    std::fprintf(stderr, "the document cannot be stored: %s\n",
                 ec.message().c_str());
    return kExitUnreachable;
  }
  return WriteHead(*read, next, text);
}

/** Stores a document. Retries are safe, because an object is named by its hash
    and storing it twice changes nothing. */
std::error_code DocumentCommands::StoreDocument(const std::string& hash,
                                                const std::string& text) {
  std::error_code ec;
  for (int n = 0; n < kMaxWriteAttempts; ++n) {
    ec = client_.PutObject(hash, text);
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
    const RowReply reply = client_.CompareAndSet(write);
    if (reply.ec && reply.ec != Error::kVersionConflict) {
      continue;
    }
    // If the answer to an earlier attempt was lost although the write
    // succeeded, this attempt conflicts with the head that the earlier one
    // wrote. The operation id identifies it.
    Findings findings;
    const DocumentHead current = ParseDocumentHead(reply.row.value, findings);
    if (findings.IsEmpty() && current.operation == next.operation) {
      StoreHistoryEntry(next);
      std::printf("version %lu is in force in '%s': %s\n", next.version,
                  settings_.environment.c_str(), next.hash.c_str());
      return kExitOk;
    }
    return ReportConflict(current, text);
  }
  std::fputs(
      "the store does not answer; run history to see whether the change took "
      "effect\n",
      stderr);
  return kExitUnreachable;
}

int DocumentCommands::ReportConflict(const DocumentHead& current,
                                     const std::string& rejected_text) {
  std::printf("not applied: version %lu by %s came first\n", current.version,
              current.changed_by.c_str());
  const auto current_document = client_.GetObject(current.hash);
  if (current_document.ec) {
    std::fprintf(stderr, "document %s: %s\n", current.hash.c_str(),
                 current_document.ec.message().c_str());
  } else {
    std::puts("what differs between it and yours:");
    PrintDifference(current_document.value, rejected_text);
  }
  return kExitConflict;
}

void DocumentCommands::StoreHistoryEntry(const DocumentHead& head) {
  const RowReply reply = client_.CompareAndSet(
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
