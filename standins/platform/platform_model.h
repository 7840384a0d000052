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

/** The platform's table, object store and list of VMs, without time or
    transport. */
class PlatformModel {
 public:
  /** @param key  a name  @returns its row; version 0 if there is none */
  TableRow GetRow(const std::string& key) const;

  /** Writes a row if it has the expected version.

      @param write  the write
      @param out    receives the row after the write
      @returns      kVersionConflict if it has another version
  */
  std::error_code CompareAndSet(const TableWrite& write, TableRow& out);

  /** Keeps an object. @param name  its name  @param bytes  its bytes */
  void PutObject(const std::string& name, std::string bytes);
  /** @param name  a name  @returns its bytes, or nothing */
  std::optional<std::string> GetObject(const std::string& name) const;

  /** Sets the list of VMs. @param vms  the list */
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
