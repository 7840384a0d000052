#include "relay/sessions/session_values.h"

#include <xxhash.h>

#include <array>
#include <charconv>

namespace magnoliareel {

std::string DescribeShape(const PreparedStatement& statement) {
  std::array<char, 16> buf{};
  const XXH64_hash_t hash =
      XXH3_64bits(statement.shape.data(), statement.shape.size());
  const std::to_chars_result hex =
      std::to_chars(buf.data(), buf.data() + buf.size(), hash, 16);
  return std::string(statement.writes ? "write/" : "read/")
      .append(buf.data(), hex.ptr)
      .append("/")
      .append(std::to_string(statement.shape.size()));
}

}  // namespace magnoliareel
