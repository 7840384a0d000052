#ifndef MAGNOLIAREEL_RELAY_SESSIONS_SESSION_VALUES_H_
#define MAGNOLIAREEL_RELAY_SESSIONS_SESSION_VALUES_H_

#include <map>
#include <string>
#include <string_view>

namespace magnoliareel {

/** Named values of a session, or those that a pooled connection carries. */
using SessionValues = std::map<std::string, std::string, std::less<>>;

/** A statement that a caller prepared under a name of its own. */
struct PreparedStatement {
  bool writes = false;
  /** What it does; equal shapes share one prepared statement of the pool. */
  std::string shape;
};

/** @param statement  any
    @returns           the pool's name for its kind and shape
*/
inline std::string MakePooledStatementName(const PreparedStatement& statement) {
  return (statement.writes ? "w_" : "r_") + statement.shape;
}

/** @param held    what a connection carries
    @param wanted  what a session has set
    @returns       true if `held` has a name that `wanted` lacks, so that adding
                   values cannot make them equal
*/
inline bool HasExtraValues(const SessionValues& held,
                           const SessionValues& wanted) {
  for (const auto& [name, value] : held) {
    if (!wanted.contains(name)) {
      return true;
    }
  }
  return false;
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_SESSIONS_SESSION_VALUES_H_
