#include "tests/load/open_loop_load.h"

#include <algorithm>
#include <array>
#include <utility>

namespace magnoliareel {
namespace {

// A refused operation is sent again this often, after a pause.
constexpr uint32_t kMaxRetries = 2;
constexpr int64_t kMinRetryPauseUs = 100'000;
constexpr int64_t kRetryPauseSpreadUs = 200'000;

constexpr std::array<std::string_view, 4> kShapes = {
    "q12", "q12 READ fp", "q12 WRITE fp", "q27 blank"};

constexpr std::array<std::string_view, 4> kRefusals = {"BUSY", "ABORTED",
                                                       "LAGGING", "READONLY"};

}  // namespace

OpenLoopLoad::OpenLoopLoad(TrafficSimulation& simulation,
                           OpenLoopOptions options)
    : simulation_(simulation),
      options_(options),
      random_(options.seed),
      prepared_random_(options.seed) {
  team_session_ids_.resize(options_.teams);
  simulation_.SetCallerOutput(
      [this](size_t, uint64_t session, std::string_view line) {
        HandleLine(session, line);
      });
}

void OpenLoopLoad::OpenSessions() {
  constexpr std::array<const char*, 10> kDatabases = {
      "entries",    "lookups",    "timesheets", "timesheets", "timesheets",
      "timesheets", "timesheets", "timesheets", "timesheets", "entries"};
  for (size_t vm = 0; vm < options_.vms; ++vm) {
    for (size_t it = 0; it < options_.sessions_per_vm; ++it) {
      const uint64_t id = simulation_.OpenCaller(vm);
      const std::string database = kDatabases[(vm + it) % kDatabases.size()];
      Session& session = sessions_[id];
      session.vm = vm;
      session.database = database;
      session_ids_.push_back(id);
      std::string caller = "caller";
      if (options_.teams > 0) {
        session.team = session_ids_.size() % options_.teams;
        team_session_ids_[session.team].push_back(id);
        caller = "key-" + std::to_string(session.team);
      }
      simulation_.Send(vm, id, "STARTUP " + database + " " + caller);
    }
  }
}

void OpenLoopLoad::RunUntil(TimePoint end, double rate_factor) {
  EventQueue& queue = simulation_.GetQueue();
  std::exponential_distribution<> interval(options_.rate * rate_factor);
  for (;;) {
    const TimePoint next =
        queue.Now() + Duration(static_cast<int64_t>(interval(random_) * 1e6));
    if (next >= end) {
      queue.RunUntil(end);
      return;
    }
    queue.RunUntil(next);
    BeginOperation();
  }
}

const std::vector<uint64_t>& OpenLoopLoad::ChooseSessions(size_t& team) {
  if (options_.teams == 0) {
    return session_ids_;
  }
  const double others = static_cast<double>(options_.teams) - 1;
  const double at =
      std::uniform_real_distribution<>(0, first_team_factor_ + others)(random_);
  team = at < first_team_factor_
             ? 0
             : std::min(options_.teams - 1,
                        1 + static_cast<size_t>(at - first_team_factor_));
  return team_session_ids_[team];
}

void OpenLoopLoad::BeginOperation() {
  const int64_t operation = static_cast<int64_t>(operations_.size());
  Operation& it = operations_.emplace_back();
  it.began_at = simulation_.GetQueue().Now();
  const std::vector<uint64_t>& ids = ChooseSessions(it.team);
  // A caller that waits for an answer sends nothing; another one is chosen.
  for (int n = 0; n < 50; ++n) {
    const uint64_t id = ids[random_() % ids.size()];
    const Session& session = sessions_[id];
    if (!session.open || session.operation >= 0) {
      continue;
    }
    const bool writes = session.database != "lookups" && random_() % 6 == 0;
    const std::string item = "item" + std::to_string(random_() % 50);
    it.text = writes ? "WRITE " + item + " x" : "READ " + item;
    if (prepared_random_() % 4 == 0) {
      it.text =
          writes ? "EXECUTE change " + item + " x" : "EXECUTE find " + item;
    }
    Send(id, operation);
    return;
  }
}

void OpenLoopLoad::Send(uint64_t id, int64_t operation) {
  Session& session = sessions_[id];
  session.operation = operation;
  session.refused = false;
  session.failed = false;
  std::string request = "q" + std::to_string(next_request_++);
  if (options_.teams > 0) {
    request += "-team-" + std::to_string(session.team);
  }
  simulation_.Send(session.vm, id,
                   "QUERY " + request + " " +
                       operations_[static_cast<size_t>(operation)].text);
}

void OpenLoopLoad::HandleLine(uint64_t id, std::string_view line) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end() || line.empty()) {
    return;
  }
  Session& session = found->second;
  if (line.starts_with("ERROR ")) {
    line.remove_prefix(6);
    session.failed = true;
    session.refused = std::any_of(
        kRefusals.begin(), kRefusals.end(),
        [line](std::string_view it) { return line.starts_with(it); });
    return;
  }
  if (!line.starts_with("READY")) {
    return;
  }
  if (!std::exchange(session.has_prepared, true)) {
    // The answer may arrive while STARTUP is still being sent.
    simulation_.GetQueue().After(Duration(0),
                                 [this, id] { Prepare(id, sessions_[id]); });
    return;
  }
  if (session.pending_prepares > 0) {
    session.open = --session.pending_prepares == 0;
    return;
  }
  if (session.operation >= 0) {
    // The answer may arrive while the statement is still being sent.
    simulation_.GetQueue().After(Duration(0),
                                 [this, id] { FinishAttempt(id); });
  }
}

void OpenLoopLoad::Prepare(uint64_t id, Session& session) {
  const std::string shape(kShapes[prepared_random_() % kShapes.size()]);
  session.pending_prepares = 2;
  simulation_.Send(session.vm, id, "QUERY f PREPARE find READ " + shape);
  simulation_.Send(session.vm, id, "QUERY c PREPARE change WRITE " + shape);
}

void OpenLoopLoad::FinishAttempt(uint64_t id) {
  Session& session = sessions_[id];
  const int64_t index = std::exchange(session.operation, -1);
  if (index < 0) {
    return;
  }
  Operation& operation = operations_[static_cast<size_t>(index)];
  const TimePoint now = simulation_.GetQueue().Now();
  if (!session.failed) {
    operation.served = now - operation.began_at <= options_.objective;
    return;
  }
  if (session.refused && operation.retries < kMaxRetries) {
    ++operation.retries;
    // The session stays reserved for its retry.
    session.operation = index;
    const Duration pause(kMinRetryPauseUs +
                         static_cast<int64_t>(random_() % kRetryPauseSpreadUs));
    simulation_.GetQueue().After(pause, [this, id, index] { Send(id, index); });
  }
}

double OpenLoopLoad::GetServedShare(TimePoint begin, TimePoint end) const {
  size_t n = 0;
  size_t served = 0;
  for (const Operation& it : operations_) {
    if (it.began_at >= begin && it.began_at < end) {
      ++n;
      served += it.served ? 1 : 0;
    }
  }
  return n == 0 ? 1 : static_cast<double>(served) / static_cast<double>(n);
}

std::vector<double> OpenLoopLoad::GetTeamShares(TimePoint begin,
                                                TimePoint end) const {
  std::vector<double> counts(options_.teams);
  std::vector<double> shares(options_.teams);
  for (const Operation& it : operations_) {
    if (it.began_at >= begin && it.began_at < end) {
      ++counts[it.team];
      shares[it.team] += it.served ? 1 : 0;
    }
  }
  for (size_t it = 0; it < options_.teams; ++it) {
    shares[it] = counts[it] == 0 ? 1 : shares[it] / counts[it];
  }
  return shares;
}

}  // namespace magnoliareel
