#include "core/errors/findings.h"

namespace magnoliareel {

void Findings::Add(std::string_view place,
                   Error code,
                   std::string_view message) {
  list_.push_back(Finding{std::string(place), code, std::string(message)});
}

std::string Findings::FormatLines() const {
  std::string buf;
  for (const Finding& it : list_) {
    buf += it.place.empty() ? "/" : it.place;
    buf += ": ";
    buf += GetErrorName(it.code);
    buf += ": ";
    buf += it.message;
    buf += '\n';
  }
  return buf;
}

}  // namespace magnoliareel
