#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_CALLER_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_CALLER_H_

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "tests/traffic/traffic_history.h"
#include "tests/traffic/traffic_world.h"

namespace magnoliareel {

/** A caller that runs one random operation after the other on its session and
    records what it sees. */
class TrafficCaller {
 public:
  /** @param world     where it calls
      @param history   receives its operations
      @param vm        the VM that it connects to
      @param database  whose sessions it opens
      @param seed      of its choices
  */
  TrafficCaller(TrafficWorld& world,
                std::vector<CallerOperation>& history,
                size_t vm,
                std::string database,
                uint64_t seed);

  /** Connects and goes on until Stop(). */
  void Start();
  void Stop() { stopped_ = true; }
  /** Takes a line, or the end of the session if it is empty. */
  void Receive(std::string_view line);
  /** @returns its present session */
  uint64_t GetSession() const { return session_; }
  size_t GetVm() const { return vm_; }
  /** @returns operations that ended with success since the last call */
  int TakeSuccesses() { return std::exchange(successes_, 0); }

 private:
  void BeginOperation();
  void SendNext();
  void EndOperation(bool succeeded);
  void Later(Duration pause, std::function<void()> task);
  std::string MakeStatement(CallerStatement& statement, bool may_write);

  TrafficWorld& world_;
  std::vector<CallerOperation>& history_;
  const size_t vm_;
  const std::string database_;
  std::mt19937_64 random_;
  uint64_t session_ = 0;
  uint64_t round_ = 0;
  bool open_ = false;
  bool stopped_ = false;
  std::map<std::string, std::string> values_;
  std::map<std::string, bool> prepared_;
  CallerOperation operation_;
  std::deque<std::string> plan_;
  std::string expected_;
  bool failed_ = false;
  bool promised_ = false;
  std::string proof_;
  int successes_ = 0;
  int next_id_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_TRAFFIC_CALLER_H_
