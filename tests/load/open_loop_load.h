#ifndef MAGNOLIAREEL_TESTS_LOAD_OPEN_LOOP_LOAD_H_
#define MAGNOLIAREEL_TESTS_LOAD_OPEN_LOOP_LOAD_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tests/traffic/traffic_simulation.h"

namespace magnoliareel {

/** Mix and timing of an OpenLoopLoad. */
struct OpenLoopOptions {
  size_t vms = 0;
  size_t sessions_per_vm = 0;
  /** Statements per second of all callers together. */
  double rate = 0;
  /** An answer within this time counts as served. */
  Duration objective = std::chrono::milliseconds(800);
  uint64_t seed = 1;
  /** Number of teams; team n has the key "key-n". Callers have none if 0. */
  size_t teams = 0;
};

/** Callers that send statements at given times, whether earlier ones were
    answered or not, and retry those that were refused. */
class OpenLoopLoad {
 public:
  /** @param simulation  outlives the load; its caller output is taken over */
  OpenLoopLoad(TrafficSimulation& simulation, OpenLoopOptions options);

  /** Opens all sessions. */
  void OpenSessions();
  /** Sends statements until a moment.

      @param rate_factor  multiplies OpenLoopOptions::rate
  */
  void RunUntil(TimePoint end, double rate_factor);
  /** Sets the load of the first team.

      @param factor  multiple of the other teams' load
  */
  void SetFirstTeamFactor(double factor) { first_team_factor_ = factor; }
  /** @param begin  start of a period
      @param end    its end
      @returns      the share of the statements of that period that were served
                    within the objective
  */
  double GetServedShare(TimePoint begin, TimePoint end) const;
  /** @param begin  start of a period
      @param end    its end
      @returns      the same for each team
  */
  std::vector<double> GetTeamShares(TimePoint begin, TimePoint end) const;

 private:
  /** An operation of a caller, with its retries. */
  struct Operation {
    TimePoint began_at;
    std::string text;
    size_t team = 0;
    uint32_t retries = 0;
    bool served = false;
  };
  struct Session {
    size_t vm = 0;
    std::string database;
    size_t team = 0;
    bool open = false;
    /** True once it has sent its PREPAREs. */
    bool has_prepared = false;
    /** Number of its PREPAREs without an answer. */
    size_t pending_prepares = 0;
    /** Index of the operation in progress; none if negative. */
    int64_t operation = -1;
    bool refused = false;
    bool failed = false;
  };

  void Prepare(uint64_t id, Session& session);
  void BeginOperation();
  /** @returns the sessions of the team that sends the next operation */
  const std::vector<uint64_t>& ChooseSessions(size_t& team);
  void Send(uint64_t id, int64_t operation);
  void HandleLine(uint64_t id, std::string_view line);
  void FinishAttempt(uint64_t id);

  TrafficSimulation& simulation_;
  const OpenLoopOptions options_;
  std::mt19937_64 random_;
  /** For the choice of prepared statements, so that the times and kinds of
      operations don't depend on it. */
  std::mt19937_64 prepared_random_;
  std::unordered_map<uint64_t, Session> sessions_;
  std::vector<uint64_t> session_ids_;
  std::vector<std::vector<uint64_t>> team_session_ids_;
  double first_team_factor_ = 1;
  std::vector<Operation> operations_;
  uint64_t next_request_ = 1;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_LOAD_OPEN_LOOP_LOAD_H_
