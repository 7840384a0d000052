// Limits of memory and descriptors for callers and other VMs.

#include <string>
#include <utility>

#include "apps/node/traffic_thread.h"

namespace magnoliareel {
namespace {

// Interval at which stalled connections are looked for while others wait.
constexpr Duration kStallCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kLimitLogInterval = std::chrono::seconds(1);

}  // namespace

void TrafficThread::SetPaused(Connection& connection,
                              PauseReason reason,
                              bool is_paused) {
  const unsigned before = connection.pauses;
  connection.pauses = is_paused ? before | reason : before & ~reason;
  if (before == 0 && connection.pauses != 0) {
    connection.stream.Pause();
  } else if (before != 0 && connection.pauses == 0) {
    connection.stream.Resume();
  }
}

void TrafficThread::UpdateLine(Connection& connection) {
  const uint64_t id = connection.id;
  const bool is_busy = core_.IsBusy(id);
  if (connection.has_line) {
    line_budget_.SetInUse(id, is_busy, Now());
    // Another VM asks for a sign of life while its statement is in progress.
    const bool is_ahead =
        connection.remote == RemoteKind::kCaller ||
        connection.framer.GetBufferedBytes() > kShortLineBytes;
    SetPaused(connection, kLineInUse, is_busy && is_ahead);
    if (is_busy) {
      return;
    }
  }
  const LineClass wanted = ClassifyLine(connection.framer.GetBufferedBytes() +
                                        core_.GetBacklogBytes(id));
  if (wanted == LineClass::kShort) {
    if (std::exchange(connection.has_line, false)) {
      line_budget_.Release(id);
      SetPaused(connection, kAwaitsLine, false);
      ResumeGranted();
    }
    return;
  }
  connection.has_line = true;
  switch (line_budget_.Request(id, wanted, Now())) {
    case LineDecision::kRead:
      SetPaused(connection, kAwaitsLine, false);
      break;
    case LineDecision::kWait:
      SetPaused(connection, kAwaitsLine, true);
      if (!std::exchange(checks_stalls_, true)) {
        line_timer_.StartRepeating(kStallCheckInterval);
      }
      break;
    case LineDecision::kClose:
      connection.has_line = false;
      ++limit_counters_.lines_refused;
      DropCaller(id);
      break;
  }
}

void TrafficThread::ResumeGranted() {
  for (const uint64_t it : line_budget_.TakeGranted(Now())) {
    if (const auto found = callers_.find(it); found != callers_.end()) {
      SetPaused(*found->second, kAwaitsLine, false);
    }
  }
}

void TrafficThread::CloseStalled() {
  for (const uint64_t it : line_budget_.FindStalled(Now())) {
    ++limit_counters_.lines_stalled;
    DropCaller(it);
  }
  LogLimits();
  if (line_budget_.CountWaiting() == 0) {
    checks_stalls_ = false;
    line_timer_.Stop();
  }
}

void TrafficThread::CountUnsent(Connection& connection, size_t bytes) {
  unsent_bytes_ += bytes - std::exchange(connection.unsent, bytes);
}

void TrafficThread::LimitUnsent() {
  while (unsent_bytes_ > max_unsent_bytes_) {
    // Some may have been sent since they were counted.
    Connection* most = nullptr;
    for (Connections* connections : {&callers_, &ending_callers_}) {
      for (const auto& [id, it] : *connections) {
        if (it->unsent == 0) {
          continue;
        }
        CountUnsent(*it, it->stream.GetUnsentBytes());
        if (most == nullptr || it->unsent > most->unsent) {
          most = it.get();
        }
      }
    }
    if (most == nullptr || unsent_bytes_ <= max_unsent_bytes_) {
      return;
    }
    ++limit_counters_.answers_unread;
    DropCaller(most->id);
  }
}

void TrafficThread::DropCaller(uint64_t id) {
  RetireConnection(callers_, id);
  RetireConnection(ending_callers_, id);
  core_.CloseSession(id);
}

void TrafficThread::LogLimits() {
  const LimitCounters& now = limit_counters_;
  LimitCounters& last = logged_limits_;
  const uint64_t closed = now.lines_stalled + now.lines_refused +
                          now.answers_unread + now.mute_closed +
                          now.callers_refused - last.lines_stalled -
                          last.lines_refused - last.answers_unread -
                          last.mute_closed - last.callers_refused;
  if (closed == 0 || Now() - limits_logged_at_ < kLimitLogInterval) {
    return;
  }
  LogEvent(Event::kLimitsApplied,
           {{"lines_stalled",
             std::to_string(now.lines_stalled - last.lines_stalled)},
            {"lines_refused",
             std::to_string(now.lines_refused - last.lines_refused)},
            {"answers_unread",
             std::to_string(now.answers_unread - last.answers_unread)},
            {"mute_closed", std::to_string(now.mute_closed - last.mute_closed)},
            {"callers_refused",
             std::to_string(now.callers_refused - last.callers_refused)},
            {"lines_waiting", std::to_string(line_budget_.CountWaiting())},
            {"held_bytes", std::to_string(core_.GetHeldText().GetTotal())}});
  last = now;
  limits_logged_at_ = Now();
}

}  // namespace magnoliareel
