#include "gossip/fields/datagram_fields.h"

#include <cstdint>

namespace magnoliareel {

std::string JoinFields(std::initializer_list<std::string_view> fields) {
  std::string out;
  for (const std::string_view it : fields) {
    if (!out.empty()) {
      out.push_back(' ');
    }
    out.append(it);
  }
  return out;
}

bool DecodeDuration(std::string_view text, Duration& out) {
  uint64_t microseconds = 0;
  if (!ParseDecimal(text, microseconds)) {
    return false;
  }
  out = Duration(static_cast<Duration::rep>(microseconds));
  return out >= Duration(0);
}

}  // namespace magnoliareel
