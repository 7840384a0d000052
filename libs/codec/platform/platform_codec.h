#ifndef MAGNOLIAREEL_CODEC_PLATFORM_PLATFORM_CODEC_H_
#define MAGNOLIAREEL_CODEC_PLATFORM_PLATFORM_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** @param row  any row  @returns its JSON */
std::string FormatTableRow(const TableRow& row);
/** @param body  JSON  @param findings  receives every fault  @returns the row
 */
TableRow ParseTableRow(std::string_view body, Findings& findings);

/** @param vms  the list  @returns its JSON */
std::string FormatVmList(std::span<const VmEntry> vms);
/** @param body  JSON  @param findings  receives every fault  @returns the list
 */
std::vector<VmEntry> ParseVmList(std::string_view body, Findings& findings);

/** @param row  any row  @returns its JSON, the value of a table row */
std::string FormatGrantRow(const GrantRow& row);
/** @param body  JSON  @param findings  receives every fault  @returns the row
 */
GrantRow ParseGrantRow(std::string_view body, Findings& findings);

/** @param head  any head  @returns its JSON, the value of a table row */
std::string FormatDocumentHead(const DocumentHead& head);
/** @param body  JSON  @param findings  receives every fault  @returns the head
 */
DocumentHead ParseDocumentHead(std::string_view body, Findings& findings);

/** A write to the platform's table. */
struct TableWrite {
  /** Name of the row. */
  std::string key;
  /** Version that the row must have; 0 if it must not exist. */
  uint64_t expected_version = 0;
  /** The new value. */
  std::string value;
};

/** @param write  any write  @returns its JSON */
std::string FormatTableWrite(const TableWrite& write);
/** @param body  JSON  @param findings  receives every fault  @returns the write
 */
TableWrite ParseTableWrite(std::string_view body, Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_PLATFORM_PLATFORM_CODEC_H_
