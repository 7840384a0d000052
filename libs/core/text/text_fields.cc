#include "core/text/text_fields.h"

#include <charconv>

namespace magnoliareel {

std::string_view TakeField(std::string_view& rest) {
  const size_t blank = rest.find(' ');
  const std::string_view field = rest.substr(0, blank);
  rest.remove_prefix(blank == std::string_view::npos ? rest.size() : blank + 1);
  return field;
}

bool ParseDecimal(std::string_view text, uint64_t& out) {
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), out);
  return ec == std::errc{} && end == text.data() + text.size();
}

}  // namespace magnoliareel
