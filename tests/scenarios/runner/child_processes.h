#ifndef MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_CHILD_PROCESSES_H_
#define MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_CHILD_PROCESSES_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <span>
#include <string>

namespace magnoliareel::scenario {

/** The processes that a scenario started, by name. They are ended by their id
    when the scenario is over. */
class ChildProcesses {
 public:
  /** @param log_dir  each process writes NAME.log there */
  explicit ChildProcesses(std::string log_dir) : log_dir_(std::move(log_dir)) {}
  ~ChildProcesses();
  ChildProcesses(const ChildProcesses&) = delete;
  ChildProcesses& operator=(const ChildProcesses&) = delete;

  /** Starts a program. @returns false if it cannot be started */
  bool Start(const std::string& name, std::span<const std::string> words);
  /** Sends a signal. @returns false if no such process runs */
  bool Signal(const std::string& name, int signal);
  /** Waits until a process has ended. @returns its exit code, 128 + signal if
      it was killed, or nothing at the limit */
  std::optional<int> WaitExit(const std::string& name, double seconds);

 private:
  const std::string log_dir_;
  std::map<std::string, pid_t> running_;
};

}  // namespace magnoliareel::scenario

#endif  // MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_CHILD_PROCESSES_H_
