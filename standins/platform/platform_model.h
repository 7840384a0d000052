#ifndef MAGNOLIAREEL_STANDINS_PLATFORM_PLATFORM_MODEL_H_
#define MAGNOLIAREEL_STANDINS_PLATFORM_PLATFORM_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/codec.h"
#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel::standin {

/** Models the platform's table, object store and list of VMs, without timing or
    transport, which PlatformServer adds. */
class PlatformModel {
 public:
  /** Reads a row of the table.

      @param key  key of the row
      @returns    the row; version 0 if there is none
  */
  TableRow GetRow(const std::string& key) const;

  /** Writes a row if it has the expected version.

      @param write  key, value and expected version
      @param out    receives the row after the call, also after a conflict
      @returns      kVersionConflict if the row has another version
  */
  std::error_code CompareAndSet(const TableWrite& write, TableRow& out);

  /** Stores an object, replacing one of the same name.

      @param name   name of the object
      @param bytes  content of the object
  */
  void PutObject(const std::string& name, std::string bytes);
  /** Reads an object.

      @param name  name of the object
      @returns     its content, or nothing if there is none
  */
  std::optional<std::string> GetObject(const std::string& name) const;

  /** Replaces the list of VMs. @param vms  the new list */
  void SetVms(std::vector<VmEntry> vms) { vms_ = std::move(vms); }
  /** @returns the list of VMs */
  std::span<const VmEntry> GetVms() const { return vms_; }

 private:
  std::map<std::string, TableRow, std::less<>> rows_;
  std::map<std::string, std::string, std::less<>> objects_;
  std::vector<VmEntry> vms_;
};

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_PLATFORM_PLATFORM_MODEL_H_
