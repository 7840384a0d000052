#include "core/text/text_fields.h"

#include <charconv>

namespace magnoliareel {

std::string_view TakeField(std::string_view& rest) {
  const size_t space = rest.find(' ');
  const std::string_view field = rest.substr(0, space);
  rest.remove_prefix(space == std::string_view::npos ? rest.size() : space + 1);
  return field;
}

bool TakeWord(std::string_view& rest, std::string& out) {
  out = TakeField(rest);
  return IsWord(out);
}

void AppendFields(std::string& out, std::initializer_list<Word> fields) {
  bool first = true;
  for (const Word it : fields) {
    if (!first) {
      out.push_back(' ');
    }
    first = false;
    out.append(it.GetText());
  }
}

std::string JoinFields(std::initializer_list<Word> fields) {
  std::string out;
  AppendFields(out, fields);
  return out;
}

bool ParseDecimal(std::string_view text, uint64_t& out) {
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), out);
  return ec == std::errc{} && end == text.data() + text.size();
}

}  // namespace magnoliareel
