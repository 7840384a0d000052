#ifndef MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_CHILD_PROCESSES_H_
#define MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_CHILD_PROCESSES_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace magnoliareel::scenario {

/** Starts and signals the processes of a scenario, by name. The destructor
    kills those that still run, by process id. */
class ChildProcesses {
 public:
  /** @param log_dir  folder to which each process writes NAME.log */
  explicit ChildProcesses(std::string log_dir) : log_dir_(std::move(log_dir)) {}
  ~ChildProcesses();
  ChildProcesses(const ChildProcesses&) = delete;
  ChildProcesses& operator=(const ChildProcesses&) = delete;

  /** Starts a program, once an earlier process of the same name has ended.

      @param name       the name of the process in later calls
      @param arguments  the path of the program and its arguments
      @returns          false if it cannot be started
  */
  bool Start(const std::string& name, std::span<const std::string> arguments);
  /** Sends a signal.

      @returns false if no process of this name runs
  */
  bool Signal(const std::string& name, int signal);
  /** Waits until a process has ended.

      @returns its exit code, 128 + signal if a signal ended it, or nothing if
               it still runs after the given seconds or does not exist
  */
  std::optional<int> WaitExit(const std::string& name, double seconds);

 private:
  const std::string log_dir_;
  std::map<std::string, pid_t> running_;
  /** Names of the processes that this run has started. */
  std::set<std::string> started_;
};

}  // namespace magnoliareel::scenario

#endif  // MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_CHILD_PROCESSES_H_
