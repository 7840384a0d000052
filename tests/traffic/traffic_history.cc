#include "tests/traffic/traffic_history.h"

#include <algorithm>
#include <set>

namespace magnoliareel {
namespace {

struct Facts {
  std::map<std::string, std::vector<size_t>> commits_of;
  std::map<std::string, std::vector<const ExecutedStatement*>> runs_of;
  std::set<size_t> kept;
  // For each commit, when its caller was told, and of which session.
  std::map<size_t, std::pair<TimePoint, uint64_t>> told;
};

Facts Collect(const std::vector<CallerOperation>& operations,
              const GroupModel& group,
              size_t leader) {
  Facts facts;
  for (size_t it = 0; it < group.GetCommits().size(); ++it) {
    for (const std::string& id : group.GetCommits()[it].requests) {
      facts.commits_of[id].push_back(it);
    }
  }
  for (const ExecutedStatement& it : group.GetExecutedStatements()) {
    facts.runs_of[it.request].push_back(&it);
  }
  facts.kept.insert(group.GetLog(leader).begin(), group.GetLog(leader).end());
  for (const CallerOperation& operation : operations) {
    const CallerStatement& last = operation.statements.back();
    const bool done =
        last.succeeded && (!operation.in_transaction || last.commits);
    if (!done) {
      continue;
    }
    for (const CallerStatement& it : operation.statements) {
      for (const size_t commit : facts.commits_of[it.id]) {
        facts.told[commit] = {last.answered_at, operation.session};
      }
    }
  }
  return facts;
}

class Checker {
 public:
  Checker(const std::vector<CallerOperation>& operations,
          const GroupModel& group,
          size_t leader,
          Duration staleness)
      : operations_(operations),
        group_(group),
        staleness_(staleness),
        facts_(Collect(operations, group, leader)) {}

  std::vector<std::string> Check() {
    for (const CallerOperation& it : operations_) {
      CheckOutcome(it);
      CheckPinning(it);
      CheckFreshness(it);
    }
    for (const auto& [commit, told] : facts_.told) {
      if (!facts_.kept.contains(commit)) {
        Add("LOST", group_.GetCommits()[commit].requests.front());
      }
    }
    return std::move(broken_);
  }

 private:
  void Add(const std::string& rule, const std::string& id) {
    broken_.push_back(rule + " " + id);
  }

  void CheckOutcome(const CallerOperation& operation) {
    const CallerStatement& last = operation.statements.back();
    const bool promised =
        std::any_of(operation.statements.begin(), operation.statements.end(),
                    [](const CallerStatement& it) { return it.promised; });
    for (const CallerStatement& it : operation.statements) {
      const auto kept = std::count_if(
          facts_.commits_of[it.id].begin(), facts_.commits_of[it.id].end(),
          [&](size_t commit) { return facts_.kept.contains(commit); });
      if (kept > 1) {
        Add("TWICE", it.id);
      }
      if (kept > 0 && promised) {
        Add("REFUSED", it.id);
      }
      if (kept > 0 && operation.in_transaction && !last.commits) {
        Add("UNASKED commit", it.id);
      }
      if (it.succeeded && it.proof != "proof-" + it.id) {
        Add("MIXED", it.id);
      }
      for (const ExecutedStatement* run : facts_.runs_of[it.id]) {
        if (!it.prepared && run->text != it.text) {
          Add("UNASKED text", it.id);
        }
      }
    }
  }

  void CheckPinning(const CallerOperation& operation) {
    std::set<uint64_t> connections;
    for (const CallerStatement& it : operation.statements) {
      for (const ExecutedStatement* run : facts_.runs_of[it.id]) {
        if (run->values != it.values) {
          Add("PINNED values", it.id);
        }
        if (operation.in_transaction && !run->in_transaction) {
          Add("PINNED outside", it.id);
        }
        if (!operation.in_transaction && it.writes && run->in_transaction) {
          Add("PINNED inside", it.id);
        }
        // A first statement that was repeated elsewhere counts where it
        // succeeded.
        if (it.succeeded && facts_.runs_of[it.id].size() == 1) {
          connections.insert(run->connection);
        }
      }
    }
    if (operation.in_transaction && connections.size() > 1) {
      Add("PINNED connections", operation.statements.front().id);
    }
  }

  void CheckFreshness(const CallerOperation& operation) {
    const bool primary = operation.database == "entries";
    const bool own = operation.database == "timesheets";
    for (const CallerStatement& it : operation.statements) {
      const TimePoint first =
          operation.in_transaction ? operation.began_at : it.sent_at;
      if (it.writes || it.commits || !it.succeeded) {
        continue;
      }
      for (const auto& [commit, told] : facts_.told) {
        const bool counts =
            told.first <= (primary ? first : first - staleness_) ||
            (own && told.second == operation.session && told.first <= first);
        if (!counts || !facts_.kept.contains(commit)) {
          continue;
        }
        const auto& runs = facts_.runs_of[it.id];
        const bool seen = std::any_of(
            runs.begin(), runs.end(), [&](const ExecutedStatement* run) {
              return run->log >= group_.GetCommits()[commit].point;
            });
        if (!seen) {
          Add("STALE", it.id);
          break;
        }
      }
    }
  }

  const std::vector<CallerOperation>& operations_;
  const GroupModel& group_;
  const Duration staleness_;
  Facts facts_;
  std::vector<std::string> broken_;
};

}  // namespace

std::vector<std::string> CheckTraffic(
    const std::vector<CallerOperation>& operations,
    const GroupModel& group,
    size_t leader,
    Duration staleness) {
  return Checker(operations, group, leader, staleness).Check();
}

}  // namespace magnoliareel
