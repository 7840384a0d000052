#include "standins/platform/platform_model.h"

namespace magnoliareel::standin {

TableRow PlatformModel::GetRow(const std::string& key) const {
  const auto it = rows_.find(key);
  return it == rows_.end() ? TableRow{} : it->second;
}

std::error_code PlatformModel::CompareAndSet(const TableWrite& write,
                                             TableRow& out) {
  out = GetRow(write.key);
  if (out.version != write.expected_version) {
    return Error::kVersionConflict;
  }
  out = TableRow{write.value, out.version + 1};
  rows_[write.key] = out;
  return {};
}

void PlatformModel::PutObject(const std::string& name, std::string bytes) {
  objects_[name] = std::move(bytes);
}

std::optional<std::string> PlatformModel::GetObject(
    const std::string& name) const {
  const auto it = objects_.find(name);
  return it == objects_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace magnoliareel::standin
