#include "tests/traffic/traffic_history.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>

namespace magnoliareel {
namespace {

/** @returns the primary; none if no member leads */
std::optional<size_t> FindPrimary(const GroupModel& group) {
  std::optional<size_t> primary;
  for (size_t it = 0; it < group.CountMembers(); ++it) {
    if (group.HasPrimaryRole(it)) {
      primary = it;
    }
  }
  return primary;
}

/** @returns the member whose log ends latest */
size_t FindNewestLog(const GroupModel& group) {
  const auto get_end = [&group](size_t member) {
    const std::vector<size_t>& log = group.GetLog(member);
    return log.empty() ? LogPoint{} : group.GetCommits()[log.back()].point;
  };
  size_t newest = 0;
  for (size_t it = 1; it < group.CountMembers(); ++it) {
    newest = get_end(it) > get_end(newest) ? it : newest;
  }
  return newest;
}

/** What the databases did, by the statements of the callers. */
struct HistoryIndex {
  std::map<std::string, std::vector<size_t>> commits_by_request;
  std::map<std::string, std::vector<const ExecutedStatement*>> runs_by_request;
  std::set<size_t> surviving_commits;
  // For each acknowledged commit, the time of the answer and the session.
  std::map<size_t, std::pair<TimePoint, uint64_t>> acknowledged;
};

/** @param text  an execution
    @returns     all that follows the name, with its leading blank */
std::string_view GetArguments(std::string_view text) {
  constexpr std::string_view kVerb = "EXECUTE ";
  if (!text.starts_with(kVerb)) {
    return text;
  }
  const size_t end = text.find(' ', kVerb.size());
  return end == std::string_view::npos ? std::string_view() : text.substr(end);
}

HistoryIndex BuildIndex(const std::vector<CallerOperation>& operations,
                        const GroupModel& group) {
  HistoryIndex index;
  for (size_t it = 0; it < group.GetCommits().size(); ++it) {
    for (const std::string& id : group.GetCommits()[it].requests) {
      index.commits_by_request[id].push_back(it);
    }
  }
  for (const ExecutedStatement& it : group.GetExecutedStatements()) {
    index.runs_by_request[it.request].push_back(&it);
  }
  const std::vector<size_t>& log =
      group.GetLog(FindPrimary(group).value_or(FindNewestLog(group)));
  index.surviving_commits.insert(log.begin(), log.end());
  for (const CallerOperation& operation : operations) {
    const CallerStatement& last = operation.statements.back();
    const bool is_acknowledged =
        last.succeeded && (!operation.in_transaction || last.commits);
    if (!is_acknowledged) {
      continue;
    }
    for (const CallerStatement& it : operation.statements) {
      for (const size_t commit : index.commits_by_request[it.id]) {
        index.acknowledged[commit] = {last.answered_at, operation.session};
      }
    }
  }
  return index;
}

class TrafficChecker {
 public:
  TrafficChecker(const std::vector<CallerOperation>& operations,
                 const GroupModel& group,
                 Duration max_staleness)
      : operations_(operations),
        group_(group),
        max_staleness_(max_staleness),
        index_(BuildIndex(operations, group)) {}

  std::vector<std::string> Check() {
    if (!FindPrimary(group_)) {
      AddViolation("LEADERLESS", "no member is the primary at the end");
    }
    for (const CallerOperation& it : operations_) {
      CheckOutcome(it);
      CheckPinning(it);
      CheckPreparedStatements(it);
      CheckFreshness(it);
    }
    CheckIds();
    for (const auto& [commit, acknowledged] : index_.acknowledged) {
      if (!index_.surviving_commits.contains(commit)) {
        AddViolation("LOST", group_.GetCommits()[commit].requests.front());
      }
    }
    for (const AppliedPromotion& it : group_.GetPromotions()) {
      CheckPromotion(it);
    }
    return std::move(violations_);
  }

 private:
  void AddViolation(const std::string& rule, const std::string& id) {
    violations_.push_back(rule + " " + id);
  }

  // A later promotion may bring back a log with the missing commits, so the
  // last primary alone does not show that one was lost.
  void CheckPromotion(const AppliedPromotion& promotion) {
    const std::set<size_t> log(promotion.log.begin(), promotion.log.end());
    for (size_t it = 0; it < group_.GetCommits().size(); ++it) {
      const CommitRecord& commit = group_.GetCommits()[it];
      if (commit.acknowledged && commit.acknowledged_at < promotion.at &&
          !log.contains(it)) {
        AddViolation("LOST at the promotion of " + promotion.endpoint,
                     commit.requests.front());
      }
    }
  }

  void CheckOutcome(const CallerOperation& operation) {
    const CallerStatement& last = operation.statements.back();
    const bool guaranteed_no_effect = std::any_of(
        operation.statements.begin(), operation.statements.end(),
        [](const CallerStatement& it) { return it.guaranteed_no_effect; });
    for (const CallerStatement& it : operation.statements) {
      const auto surviving_commits = std::count_if(
          index_.commits_by_request[it.id].begin(),
          index_.commits_by_request[it.id].end(), [&](size_t commit) {
            return index_.surviving_commits.contains(commit);
          });
      if (surviving_commits > 1) {
        AddViolation("TWICE", it.id);
      }
      if (surviving_commits > 0 && guaranteed_no_effect) {
        AddViolation("REFUSED", it.id);
      }
      if (surviving_commits > 0 && operation.in_transaction && !last.commits) {
        AddViolation("UNASKED commit", it.id);
      }
      if (it.succeeded && it.proof != "proof-" + it.id) {
        AddViolation("MIXED", it.id);
      }
      for (const ExecutedStatement* run : index_.runs_by_request[it.id]) {
        const bool is_same_text =
            it.is_execution
                ? !run->prepared_name.empty() &&
                      GetArguments(run->text) == GetArguments(it.text)
                : run->text == it.text;
        if (!is_same_text) {
          AddViolation("UNASKED text", it.id);
        }
      }
    }
  }

  void CheckPreparedStatements(const CallerOperation& operation) {
    for (const CallerStatement& it : operation.statements) {
      for (const ExecutedStatement* run : index_.runs_by_request[it.id]) {
        if (run->shape != it.shape) {
          AddViolation("PINNED shape", it.id);
        }
      }
      if (!it.shape.empty() && it.error == "NOSTMT") {
        AddViolation("PINNED unknown", it.id);
      }
    }
  }

  void CheckIds() {
    std::set<std::string_view> sent;
    for (const CallerOperation& operation : operations_) {
      for (const CallerStatement& it : operation.statements) {
        sent.insert(it.id);
      }
    }
    for (const ExecutedStatement& it : group_.GetExecutedStatements()) {
      if (!sent.contains(it.request)) {
        AddViolation("UNASKED id", it.request);
      }
    }
  }

  void CheckPinning(const CallerOperation& operation) {
    std::set<uint64_t> connections;
    for (const CallerStatement& it : operation.statements) {
      for (const ExecutedStatement* run : index_.runs_by_request[it.id]) {
        if (run->values != it.values) {
          AddViolation("PINNED values", it.id);
        }
        if (operation.in_transaction && !run->in_transaction) {
          AddViolation("PINNED outside", it.id);
        }
        if (!operation.in_transaction && it.writes && run->in_transaction) {
          AddViolation("PINNED inside", it.id);
        }
        // A first statement may be retried at another endpoint. Which of its
        // runs belongs to the transaction is not known then, so it is left out.
        if (it.succeeded && index_.runs_by_request[it.id].size() == 1) {
          connections.insert(run->connection);
        }
      }
    }
    if (operation.in_transaction && connections.size() > 1) {
      AddViolation("PINNED connections", operation.statements.front().id);
    }
  }

  void CheckFreshness(const CallerOperation& operation) {
    const bool requires_primary = operation.database == "entries";
    const bool requires_own_writes = operation.database == "timesheets";
    for (const CallerStatement& it : operation.statements) {
      const TimePoint first =
          operation.in_transaction ? operation.began_at : it.sent_at;
      if (it.writes || it.commits || !it.succeeded) {
        continue;
      }
      for (const auto& [commit, acknowledged] : index_.acknowledged) {
        const bool must_be_seen =
            acknowledged.first <=
                (requires_primary ? first : first - max_staleness_) ||
            (requires_own_writes && acknowledged.second == operation.session &&
             acknowledged.first <= first);
        if (!must_be_seen || !index_.surviving_commits.contains(commit)) {
          continue;
        }
        const auto& runs = index_.runs_by_request[it.id];
        const bool is_seen = std::any_of(
            runs.begin(), runs.end(), [&](const ExecutedStatement* run) {
              return run->log >= group_.GetCommits()[commit].point;
            });
        if (!is_seen) {
          AddViolation("STALE", it.id);
          break;
        }
      }
    }
  }

  const std::vector<CallerOperation>& operations_;
  const GroupModel& group_;
  const Duration max_staleness_;
  HistoryIndex index_;
  std::vector<std::string> violations_;
};

}  // namespace

std::vector<std::string> CheckTraffic(
    const std::vector<CallerOperation>& operations,
    const GroupModel& group,
    Duration max_staleness) {
  return TrafficChecker(operations, group, max_staleness).Check();
}

}  // namespace magnoliareel
