#include "forwarding/frames/forwarding_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace magnoliareel {
namespace {

constexpr auto kRequirementLetters =
    std::to_array<std::pair<char, EndpointRequirement>>({
        {'r', EndpointRequirement::kRead},
        {'p', EndpointRequirement::kPrimaryRead},
        {'w', EndpointRequirement::kWrite},
        {'b', EndpointRequirement::kReadWriteTransaction},
        {'t', EndpointRequirement::kReadTransaction},
        {'o', EndpointRequirement::kOpenTransaction},
    });
// Longer times are not sent by any VM.
constexpr uint64_t kMaxTimeLeftMs = 24ULL * 3600 * 1000;
constexpr uint64_t kMaxPriority = 1'000'000;

bool ParsePoint(std::string_view text, std::optional<LogPoint>& out) {
  if (text == "-") {
    out.reset();
    return true;
  }
  LogPoint point;
  const size_t dot = text.find('.');
  if (dot == std::string_view::npos ||
      !ParseDecimal(text.substr(0, dot), point.term.value) ||
      !ParseDecimal(text.substr(dot + 1), point.position.value)) {
    return false;
  }
  out = point;
  return true;
}

}  // namespace

void AppendForwardingFields(std::string& out, const ForwardingHeader& header) {
  const auto it = std::find_if(
      kRequirementLetters.begin(), kRequirementLetters.end(),
      [&](const auto& row) { return row.second == header.requirement; });
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(header.time_left);
  AppendFields(
      out, {Word(std::string_view(&it->first, 1)),
            Word(std::to_string(std::max(0, header.priority))),
            Word(std::to_string(std::max<int64_t>(0, left.count()))),
            Word(std::to_string(header.config_version)),
            header.required_point ? Word(FormatLogPoint(*header.required_point))
                                  : Word("-")});
  out.push_back(' ');
}

bool TakeForwardingFields(std::string_view& rest, ForwardingHeader& out) {
  const std::string_view letter = TakeField(rest);
  const auto it =
      std::find_if(kRequirementLetters.begin(), kRequirementLetters.end(),
                   [&](const auto& row) {
                     return letter.size() == 1 && row.first == letter.front();
                   });
  uint64_t priority = 0;
  uint64_t left_ms = 0;
  if (it == kRequirementLetters.end() ||
      !ParseDecimal(TakeField(rest), priority) || priority > kMaxPriority ||
      !ParseDecimal(TakeField(rest), left_ms) || left_ms > kMaxTimeLeftMs ||
      !ParseDecimal(TakeField(rest), out.config_version) ||
      !ParsePoint(TakeField(rest), out.required_point)) {
    return false;
  }
  out.requirement = it->second;
  out.priority = static_cast<int>(priority);
  out.time_left = std::chrono::milliseconds(left_ms);
  return true;
}

}  // namespace magnoliareel
