#ifndef MAGNOLIAREEL_RELAY_SESSIONS_SESSION_VALUES_H_
#define MAGNOLIAREEL_RELAY_SESSIONS_SESSION_VALUES_H_

#include <map>
#include <string>
#include <string_view>

namespace magnoliareel {

/** Values that a session has set, or that are set on a pooled connection, by
    name. */
using SessionValues = std::map<std::string, std::string, std::less<>>;

/** A statement that a caller prepared under a name of its own. */
struct PreparedStatement {
  bool writes = false;
  /** The operation without its arguments; sessions with equal shapes share one
      prepared statement per connection. */
  std::string shape;
};

/** Describes a prepared statement in logs, where its text has no place.

    @param statement  a prepared statement
    @returns          "read" or "write", a hash of the shape in hexadecimal and
                      the shape's length in bytes, separated by slashes
*/
std::string DescribeShape(const PreparedStatement& statement);

/** @param held    values that are set on a connection
    @param wanted  values of a session
    @returns       true if `held` has a name that `wanted` lacks, which adding
                   values cannot change
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
