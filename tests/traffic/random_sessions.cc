#include "tests/traffic/random_sessions.h"

#include <utility>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

GroupOptions MakeOptions(uint64_t seed, uint32_t connections) {
  static const std::vector<std::string> codes = {"FAILED", "MALFORMED", "BUSY",
                                                 "TIMEOUT"};
  GroupOptions options;
  options.seed = seed;
  options.max_connections = connections;
  options.prepare_refusal_rate = 0.05;
  options.set_refusal_rate = 0.1;
  options.forgetting_rate = 0.3;
  options.refusal_code = codes[seed / 2 % codes.size()];
  return options;
}

}  // namespace

std::string_view GetArguments(std::string_view text) {
  TakeField(text);
  const size_t end = text.find(' ');
  return end == std::string_view::npos ? "" : text.substr(end);
}

RandomSessions::RandomSessions(uint64_t seed, size_t vms, uint32_t connections)
    : random_(seed), simulation_(vms, MakeOptions(seed, connections)) {
  simulation_.SetCallerOutput(
      [this](size_t, uint64_t session, std::string_view line) {
        for (Session& it : sessions_) {
          if (it.id == session) {
            HandleLine(it, line);
            return;
          }
        }
      });
  Run(std::chrono::seconds(2));
  for (size_t n = 0; n < 2 * vms; ++n) {
    Open(sessions_.emplace_back(), n % vms);
  }
}

void RandomSessions::RunRounds(int rounds) {
  for (int n = 0; n < rounds; ++n) {
    for (Session& it : sessions_) {
      SendNext(it);
    }
    Run(milliseconds(15));
  }
  Run(std::chrono::seconds(2));
}

std::vector<std::string> RandomSessions::Check() {
  std::vector<std::string> violations;
  std::map<std::string, int> run_counts;
  for (const ExecutedStatement& it :
       simulation_.GetGroup().GetExecutedStatements()) {
    const auto found = expected_.find(it.request);
    if (found == expected_.end()) {
      continue;
    }
    const Expected& expected = found->second;
    if (it.shape != expected.shape) {
      violations.push_back(it.shape + " ran for " + expected.shape);
    }
    if (GetArguments(it.text) != expected.arguments) {
      violations.push_back(it.text + " ran for " + expected.arguments);
    }
    if (it.values != expected.values) {
      violations.push_back(it.request + " ran with other values");
    }
    ++run_counts[it.request];
  }
  for (const auto& [request, expected] : expected_) {
    const int count = run_counts[request];
    const bool writes = expected.shape.starts_with("WRITE");
    const bool succeeded = expected.answer == "COMPLETE";
    success_count_ += succeeded ? 1 : 0;
    // A transaction rolls back what it ran.
    const bool says_not_run =
        writes && !succeeded && !expected.in_transaction &&
        !expected.answer.empty() && expected.answer != "UNKNOWN";
    refused_count_ += says_not_run ? 1 : 0;
    if ((succeeded && count == 0) || (writes && count > 1) ||
        (says_not_run && count > 0)) {
      violations.push_back(request + " was answered " + expected.answer +
                           " and ran " + std::to_string(count) + " times");
    }
  }
  return violations;
}

void RandomSessions::Open(Session& session, size_t vm) {
  session = {};
  session.vm = vm;
  session.id = simulation_.OpenCaller(vm);
  simulation_.Send(vm, session.id, "STARTUP entries caller");
}

void RandomSessions::Run(Duration time) {
  EventQueue& queue = simulation_.GetQueue();
  queue.RunUntil(queue.Now() + time);
}

void RandomSessions::HandleLine(Session& session, std::string_view line) {
  if (line.empty()) {
    Open(session, session.vm);
  } else if (line.starts_with("COMPLETE")) {
    session.answer = "COMPLETE";
  } else if (line.starts_with("ERROR ")) {
    TakeField(line);
    session.answer = TakeField(line);
  } else if (line.starts_with("READY ")) {
    session.is_busy = false;
    session.status = line[6];
    if (const auto it = expected_.find(session.request);
        it != expected_.end()) {
      it->second.answer = session.answer;
    }
  }
}

void RandomSessions::SendNext(Session& session) {
  if (session.is_busy) {
    return;
  }
  session.is_busy = true;
  session.request = "r" + std::to_string(++request_count_);
  simulation_.Send(session.vm, session.id,
                   "QUERY " + session.request + " " + ChooseText(session));
}

std::string RandomSessions::ChooseText(Session& session) {
  const uint64_t choice = random_() % 16;
  if (session.status == 'E' || (session.status == 'T' && choice == 0)) {
    return "ROLLBACK";
  }
  if (session.status == 'T' && choice == 1) {
    return "COMMIT";
  }
  if (session.status == 'I' && choice < 2) {
    return "BEGIN";
  }
  const std::string name(Pick({"s1", "s2", "p1"}));
  const auto found = session.prepared.find(name);
  if (choice < 5 || found == session.prepared.end()) {
    const std::string shape =
        std::string(Pick({"READ ", "WRITE "}))
            .append(Pick({"q1", "q1 READ q2", "q1 READ", "q1 WRITE q1",
                          "WRITE q1", "q1  q2", "q1 ", "READ q1"}));
    session.prepared[name] = shape;
    return "PREPARE " + name + " " + shape;
  }
  if (choice == 5) {
    const std::string value(Pick({"a b", " a", "", "b  c "}));
    session.values["v1"] = value;
    return "SET v1 " + value;
  }
  const std::string arguments(Pick({" it x", " it  x ", " it READ p1"}));
  expected_[session.request] = {found->second, arguments, session.values,
                                session.status == 'T', ""};
  return "EXECUTE " + name + arguments;
}

}  // namespace magnoliareel
