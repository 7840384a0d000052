#include "core/outcomes/outcome.h"

#include <array>

namespace magnoliareel {
namespace {

constexpr std::array<std::string_view, 4> kNames = {"done", "failed", "not_run",
                                                    "unknown"};

}  // namespace

std::string_view GetOutcomeName(Outcome outcome) noexcept {
  return kNames.at(static_cast<size_t>(outcome));
}

std::optional<Outcome> ParseOutcomeName(std::string_view name) noexcept {
  for (size_t index = 0; index < kNames.size(); ++index) {
    if (kNames[index] == name) {
      return static_cast<Outcome>(index);
    }
  }
  return std::nullopt;
}

}  // namespace magnoliareel
