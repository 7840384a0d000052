#include "history/operations/split_values.h"

#include <algorithm>

namespace magnoliareel {

std::vector<std::string> SplitValues(std::string_view text) {
  std::vector<std::string> values;
  for (size_t begin = 0; begin < text.size();) {
    const size_t end = std::min(text.find(',', begin), text.size());
    values.emplace_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return values;
}

}  // namespace magnoliareel
