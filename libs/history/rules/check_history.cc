#include "history/rules/check_history.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace magnoliareel {
namespace {

constexpr std::array<std::string_view, 7> kRuleNames = {
    "read_your_writes", "lost_write",        "doubled_write", "ran_after_all",
    "torn_transaction", "mixed_transaction", "wrong_answer"};

bool IsRead(const Operation& operation) {
  return operation.kind == OperationKind::kRead ||
         operation.kind == OperationKind::kFinalRead;
}

bool HasNoEffect(const Operation& operation) {
  return operation.outcome == Outcome::kNotRun ||
         operation.outcome == Outcome::kFailed;
}

/** Checks a history. Each method whose name starts with Check checks one or
    more rules. */
class HistoryChecker {
 public:
  explicit HistoryChecker(std::span<const Operation> operations)
      : operations_(operations) {
    for (const Operation& it : operations_) {
      if (IsRead(it)) {
        if (it.kind == OperationKind::kFinalRead) {
          RecordFinalRead(it);
        }
        continue;
      }
      for (const Addition& addition : it.additions) {
        writers_.emplace(addition.value, Writer{&it, addition.record});
      }
    }
  }

  std::vector<Violation> Check() {
    for (const Operation& it : operations_) {
      if (IsRead(it)) {
        CheckRead(it);
      } else {
        CheckWrite(it);
      }
    }
    CheckSessions();
    return std::move(violations_);
  }

 private:
  struct Writer {
    const Operation* operation = nullptr;
    std::string record;
  };

  void RecordFinalRead(const Operation& read) {
    auto& values = final_values_[read.additions.front().record];
    values.insert(read.seen.begin(), read.seen.end());
  }

  bool IsFinal(const Addition& addition) const {
    const auto it = final_values_.find(addition.record);
    return it != final_values_.end() && it->second.contains(addition.value);
  }

  void Report(HistoryRule rule,
              const Operation& operation,
              const std::string& detail) {
    violations_.push_back({rule, operation.request, detail});
  }

  void CheckRead(const Operation& read) {
    if (read.outcome != Outcome::kDone) {
      return;
    }
    const std::string& record = read.additions.front().record;
    std::set<std::string_view> seen;
    for (const std::string& value : read.seen) {
      const std::string place = "value " + value + " in record " + record;
      if (!seen.insert(value).second) {
        Report(HistoryRule::kDuplicatedWrite, read, place);
      }
      const auto it = writers_.find(value);
      if (it == writers_.end() || it->second.record != record) {
        Report(HistoryRule::kForeignValue, read, place);
        continue;
      }
      const Operation& writer = *it->second.operation;
      const std::string by = place + ", added by " + writer.request;
      if (HasNoEffect(writer)) {
        Report(HistoryRule::kAbortedRead, read, by);
      }
      const bool is_dirty_read =
          writer.kind == OperationKind::kTransaction &&
          (writer.commit_began == 0 || read.ended < writer.commit_began);
      if (is_dirty_read) {
        Report(HistoryRule::kDirtyRead, read, by);
      }
    }
  }

  void CheckWrite(const Operation& operation) {
    size_t present = 0;
    for (const Addition& it : operation.additions) {
      const bool is_final = IsFinal(it);
      present += is_final ? 1 : 0;
      if (operation.outcome == Outcome::kDone && !is_final) {
        Report(HistoryRule::kLostWrite, operation,
               "value " + it.value + " is not in record " + it.record);
      }
    }
    if (present > 0 && present < operation.additions.size()) {
      Report(HistoryRule::kTornTransaction, operation,
             std::to_string(present) + " of " +
                 std::to_string(operation.additions.size()) +
                 " values are in the final state");
    }
  }

  void CheckSessions() {
    std::map<std::string_view, std::vector<const Operation*>> sessions;
    for (const Operation& it : operations_) {
      sessions[it.session].push_back(&it);
    }
    for (auto& [name, list] : sessions) {
      std::stable_sort(list.begin(), list.end(),
                       [](const Operation* a, const Operation* b) {
                         return a->began < b->began;
                       });
      CheckSession(list);
    }
  }

  void CheckSession(std::span<const Operation* const> session) {
    std::map<std::string_view,
             std::vector<std::pair<std::string_view, int64_t>>>
        written;
    for (const Operation* it : session) {
      if (it->kind == OperationKind::kRead && it->outcome == Outcome::kDone) {
        CheckOwnWrites(*it, written[it->additions.front().record]);
      } else if (!IsRead(*it) && it->outcome == Outcome::kDone) {
        for (const Addition& addition : it->additions) {
          written[addition.record].emplace_back(addition.value, it->ended);
        }
      }
    }
  }

  void CheckOwnWrites(
      const Operation& read,
      std::span<const std::pair<std::string_view, int64_t>> written) {
    const std::set<std::string_view> seen(read.seen.begin(), read.seen.end());
    for (const auto& [value, ended] : written) {
      if (ended <= read.began && !seen.contains(value)) {
        Report(HistoryRule::kReadYourWrites, read,
               "value " + std::string(value) + " of record " +
                   read.additions.front().record + " is missing");
      }
    }
  }

  std::span<const Operation> operations_;
  std::unordered_map<std::string, Writer> writers_;
  // Values of each record that the final reads returned.
  std::map<std::string, std::set<std::string>> final_values_;
  std::vector<Violation> violations_;
};

}  // namespace

std::string_view GetHistoryRuleName(HistoryRule rule) {
  return kRuleNames.at(static_cast<size_t>(rule));
}

std::vector<Violation> CheckHistory(std::span<const Operation> operations) {
  return HistoryChecker(operations).Check();
}

}  // namespace magnoliareel
