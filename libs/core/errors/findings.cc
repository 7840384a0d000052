#include "core/errors/findings.h"

namespace magnoliareel {

void Findings::Add(std::string_view place,
                   Error code,
                   std::string_view message) {
  list_.push_back(Finding{std::string(place), code, std::string(message)});
}

std::string Findings::FormatLines() const {
  std::string text;
  for (const Finding& it : list_) {
    text += it.place.empty() ? "/" : it.place;
    text += ": ";
    text += GetErrorName(it.code);
    text += ": ";
    text += it.message;
    text += '\n';
  }
  return text;
}

}  // namespace magnoliareel
