#include "core/text/percent_encoding.h"

namespace magnoliareel {

std::string PercentEncode(std::string_view text, std::string_view kept) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                            (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                            c == '.' || kept.find(c) != std::string_view::npos;
    if (unreserved) {
      out.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out.push_back('%');
    out.push_back(kHex[byte >> 4]);
    out.push_back(kHex[byte & 15]);
  }
  return out;
}

}  // namespace magnoliareel
