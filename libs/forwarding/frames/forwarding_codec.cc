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

uint64_t GetMilliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::max(Duration(0), time))
      .count();
}

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
  const int priority = std::clamp(header.priority, 0, kMaxForwardedPriority);
  const uint64_t left_ms =
      GetMilliseconds(std::min(header.time_left, kMaxForwardedTime));
  AppendFields(
      out, {Word(std::string_view(&it->first, 1)),
            Word(std::to_string(priority)), Word(std::to_string(left_ms)),
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
      !ParseDecimal(TakeField(rest), priority) ||
      priority > kMaxForwardedPriority ||
      !ParseDecimal(TakeField(rest), left_ms) ||
      left_ms > GetMilliseconds(kMaxForwardedTime) ||
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
