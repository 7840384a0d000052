#ifndef MAGNOLIAREEL_APPS_CTL_DOCUMENT_COMMANDS_H_
#define MAGNOLIAREEL_APPS_CTL_DOCUMENT_COMMANDS_H_

#include <optional>
#include <string>

#include "apps/ctl/blocking_client.h"
#include "apps/ctl/ctl_settings.h"
#include "messages/messages.h"

namespace magnoliareel {

/** The commands that check documents and put them in force. Each prints what it
    did and returns the program's exit code. */
class DocumentCommands {
 public:
  /** @param settings  of the program  @param access  to the platform */
  DocumentCommands(const CtlSettings& settings, BlockingClient& access)
      : settings_(settings), access_(access) {}

  /** Checks a document without the platform. @param path  its file */
  static int Check(const std::string& path);
  /** Compares a file with the document in force. @param path  the file */
  int Diff(const std::string& path);
  /** Puts a file in force. @param path  the file */
  int Apply(const std::string& path);
  /** Puts the document that is in force in trial in force, byte for byte. */
  int Promote();
  /** Lists the documents that have been in force. */
  int ShowHistory();

 private:
  /** The head of an environment and the version of its row. */
  struct HeadRow {
    DocumentHead head;
    uint64_t row_version = 0;
  };

  std::optional<HeadRow> ReadHead(const std::string& environment);
  int ApplyText(const std::string& text);
  std::error_code StoreDocument(const std::string& hash,
                                const std::string& text);
  int WriteHead(const HeadRow& read,
                const DocumentHead& next,
                const std::string& text);
  int ReportConflict(const DocumentHead& winner, const std::string& own_text);
  void StoreHistoryEntry(const DocumentHead& head);

  const CtlSettings& settings_;
  BlockingClient& access_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_CTL_DOCUMENT_COMMANDS_H_
