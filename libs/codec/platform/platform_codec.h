#ifndef MAGNOLIAREEL_CODEC_PLATFORM_PLATFORM_CODEC_H_
#define MAGNOLIAREEL_CODEC_PLATFORM_PLATFORM_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** @param row  row of the platform's table  @returns the row as JSON */
std::string FormatTableRow(const TableRow& row);
/** @param body  JSON  @param findings  receives every fault  @returns the row
 */
TableRow ParseTableRow(std::string_view body, Findings& findings);

/** @param vms  list of VMs  @returns the list as JSON */
std::string FormatVmList(std::span<const VmEntry> vms);
/** @param body  JSON  @param findings  receives every fault  @returns the list
 */
std::vector<VmEntry> ParseVmList(std::string_view body, Findings& findings);

/** @param row  granted terms  @returns JSON for the value of a table row */
std::string FormatGrantRow(const GrantRow& row);
/** @param body  JSON  @param findings  receives every fault  @returns the row
 */
GrantRow ParseGrantRow(std::string_view body, Findings& findings);

/** @param head  document head  @returns JSON for the value of a table row */
std::string FormatDocumentHead(const DocumentHead& head);
/** @param body  JSON  @param findings  receives every fault  @returns the head
 */
DocumentHead ParseDocumentHead(std::string_view body, Findings& findings);

/** Conditional write to a row of the platform's table. */
struct TableWrite {
  /** Key of the row. */
  std::string key;
  /** Version that the row must have for the write to succeed; 0 if the row must
      not exist. */
  uint64_t expected_version = 0;
  /** New value of the row. */
  std::string value;
};

/** @param write  write to the table  @returns the write as JSON */
std::string FormatTableWrite(const TableWrite& write);
/** @param body  JSON  @param findings  receives every fault  @returns the write
 */
TableWrite ParseTableWrite(std::string_view body, Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_PLATFORM_PLATFORM_CODEC_H_
