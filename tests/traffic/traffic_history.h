#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_HISTORY_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_HISTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "standins/group/group_model.h"

namespace magnoliareel {

/** A statement and its answer, as its caller saw them. */
struct CallerStatement {
  std::string id;
  /** The text sent to the proxy. A database must have run the same text; the
      name of a prepared statement may differ. */
  std::string text;
  /** True if it executes a prepared statement. */
  bool is_execution = false;
  /** Kind and shape that the caller has prepared under the executed name, such
      as "READ q12"; empty if it has deallocated the name. */
  std::string shape;
  bool writes = false;
  bool commits = false;
  TimePoint sent_at;
  bool answered = false;
  bool succeeded = false;
  /** True if the answer was an error that guarantees that the statement had no
      effect. @see kNoEffectErrors */
  bool guaranteed_no_effect = false;
  /** Code of the error, if the answer was one. */
  std::string error;
  /** Proof of execution from the answer: "proof-" and the id. */
  std::string proof;
  TimePoint answered_at;
  /** Session variables that were set when the statement was sent. */
  std::map<std::string, std::string> values;
};

/** A single statement, or the statements of one transaction. */
struct CallerOperation {
  uint64_t session = 0;
  std::string database;
  bool in_transaction = false;
  /** Time at which the first line of the operation was sent. */
  TimePoint began_at;
  std::vector<CallerStatement> statements;
};

/** Compares the answers that callers received with what the databases of the
    group ran and committed.

    @param operations     the operations of all callers
    @param group          the group after the run
    @param max_staleness  staleness bound of the routes that have one
    @returns              one line for each violation, "RULE ID"; the rules are
                          LEADERLESS (no member is the primary after the run),
                          LOST (an acknowledged commit is missing at the end, or
                          was at a promotion; without a primary, the end is that
                          of the newest log), TWICE (a
                          statement was committed more than once), REFUSED (an
                          error guaranteed no effect, but the statement was
                          committed), UNASKED (a commit, an id or a text that no
                          caller sent), MIXED (the answer belongs to another
                          statement), PINNED (a statement ran with other session
                          variables, as another prepared statement than its
                          caller's, or outside its transaction or connection, or
                          the name of a prepared statement was not known) and
                          STALE (a read missed a commit that its
    route guarantees to show)
*/
std::vector<std::string> CheckTraffic(
    const std::vector<CallerOperation>& operations,
    const GroupModel& group,
    Duration max_staleness);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_HISTORY_H_
