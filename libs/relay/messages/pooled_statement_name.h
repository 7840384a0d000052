#ifndef MAGNOLIAREEL_RELAY_MESSAGES_POOLED_STATEMENT_NAME_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_POOLED_STATEMENT_NAME_H_

#include <cstdint>
#include <limits>

namespace magnoliareel {

/** The pool's name of a prepared statement on one connection. It holds no text
    of a caller, and no other kind and shape gets it while the connection lives.

    @see PreparedNames
*/
struct PooledStatementName {
  uint32_t number = 0;

  bool operator==(const PooledStatementName&) const = default;
};

/** No name is encoded longer than this one. */
inline constexpr PooledStatementName kLongestPooledStatementName{
    std::numeric_limits<uint32_t>::max()};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_POOLED_STATEMENT_NAME_H_
