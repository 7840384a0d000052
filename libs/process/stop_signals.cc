#include "process/stop_signals.h"

#include <csignal>

namespace magnoliareel {
namespace {

sigset_t MakeStopSignalSet() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t set = MakeStopSignalSet();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t set = MakeStopSignalSet();
  int received = 0;
  sigwait(&set, &received);
}

}  // namespace magnoliareel
