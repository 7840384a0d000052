#include "tests/scenarios/runner/child_processes.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <thread>
#include <vector>

namespace magnoliareel::scenario {
namespace {

constexpr auto kExitPollInterval = std::chrono::milliseconds(2);
constexpr double kRestartTimeoutSeconds = 5;

}  // namespace

ChildProcesses::~ChildProcesses() {
  for (const auto& [name, pid] : running_) {
    kill(pid, SIGKILL);
  }
  for (const auto& [name, pid] : running_) {
    waitpid(pid, nullptr, 0);
  }
}

bool ChildProcesses::Start(const std::string& name,
                           std::span<const std::string> arguments) {
  // A killed process holds its port until it has ended.
  WaitExit(name, kRestartTimeoutSeconds);
  std::vector<char*> argv;
  for (const std::string& it : arguments) {
    argv.push_back(const_cast<char*>(it.c_str()));
  }
  argv.push_back(nullptr);
  const std::string log = log_dir_ + "/" + name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  // A restarted process appends to its log; that of an earlier run is dropped.
  const int reset = started_.insert(name).second ? O_TRUNC : 0;
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND | reset, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  const int rc =
      posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (rc == 0) {
    running_[name] = pid;
  }
  return rc == 0;
}

bool ChildProcesses::Signal(const std::string& name, int signal) {
  const auto it = running_.find(name);
  return it != running_.end() && kill(it->second, signal) == 0;
}

std::optional<int> ChildProcesses::WaitExit(const std::string& name,
                                            double seconds) {
  const auto it = running_.find(name);
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (it != running_.end() && std::chrono::steady_clock::now() < deadline) {
    int status = 0;
    if (waitpid(it->second, &status, WNOHANG) == it->second) {
      running_.erase(it);
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    std::this_thread::sleep_for(kExitPollInterval);
  }
  return std::nullopt;
}

}  // namespace magnoliareel::scenario
