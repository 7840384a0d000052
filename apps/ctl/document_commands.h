#ifndef MAGNOLIAREEL_APPS_CTL_DOCUMENT_COMMANDS_H_
#define MAGNOLIAREEL_APPS_CTL_DOCUMENT_COMMANDS_H_

#include <optional>
#include <string>

#include "apps/ctl/blocking_client.h"
#include "apps/ctl/ctl_settings.h"
#include "messages/messages.h"

namespace magnoliareel {

/** The commands that check, compare and apply configuration documents.

    Each command prints its result and returns the exit code of the program.

    @see ExitCode, FleetCommands
*/
class DocumentCommands {
 public:
  /** @param settings  settings of the program; must outlive this object
      @param client    client of the platform; must outlive this object
  */
  DocumentCommands(const CtlSettings& settings, BlockingClient& client)
      : settings_(settings), client_(client) {}

  /** Checks a document; needs no platform.

      @param path  file of the document
      @returns     kExitFindings if the document has findings
  */
  static int Check(const std::string& path);
  /** Prints how a file differs from the document in force.

      @param path  file of the document
      @returns     kExitOk whether or not they differ
  */
  int Diff(const std::string& path);
  /** Checks a document and puts it in force.

      @param path  file of the document
      @returns     kExitConflict if the version in force is not the expected
                   one, or another change came first
  */
  int Apply(const std::string& path);
  /** Applies the document of the trial environment, byte for byte, to the
      environment of the settings.

      @returns  kExitConflict as for Apply()
  */
  int Promote();
  /** Prints the versions that have been in force, the newest first. */
  int ShowHistory();

 private:
  /** The document head of an environment and the version of its table row. */
  struct HeadRow {
    DocumentHead head;
    uint64_t row_version = 0;
  };

  std::optional<HeadRow> ReadHead(const std::string& environment);
  int ApplyDocument(const std::string& text);
  std::error_code StoreDocument(const std::string& hash,
                                const std::string& text);
  int WriteHead(const HeadRow& read,
                const DocumentHead& next,
                const std::string& text);
  int ReportConflict(const DocumentHead& current,
                     const std::string& rejected_text);
  void StoreHistoryEntry(const DocumentHead& head);

  const CtlSettings& settings_;
  BlockingClient& client_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_CTL_DOCUMENT_COMMANDS_H_
