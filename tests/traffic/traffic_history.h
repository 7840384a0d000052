#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_HISTORY_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_HISTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "standins/group/group_model.h"

namespace magnoliareel {

/** One statement, as its caller saw it. */
struct CallerStatement {
  std::string id;
  std::string text;
  /** Text that the database must have run; differs for prepared statements. */
  bool prepared = false;
  bool writes = false;
  bool commits = false;
  TimePoint sent_at;
  bool answered = false;
  bool succeeded = false;
  /** The answer said that nothing is kept. */
  bool promised = false;
  std::string proof;
  TimePoint answered_at;
  /** Values that were acknowledged to the session when it was sent. */
  std::map<std::string, std::string> values;
};

/** An operation: a statement, or the statements of a transaction. */
struct CallerOperation {
  uint64_t session = 0;
  std::string database;
  bool in_transaction = false;
  /** First byte of the operation. */
  TimePoint began_at;
  std::vector<CallerStatement> statements;
};

/** Compares what callers saw with what the group did.

    @param operations  of all callers
    @param group       after the run
    @param leader      the member that leads at the end
    @param staleness   limit of routes that have one
    @returns           one line for each broken promise
*/
std::vector<std::string> CheckTraffic(
    const std::vector<CallerOperation>& operations,
    const GroupModel& group,
    size_t leader,
    Duration staleness);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_HISTORY_H_
