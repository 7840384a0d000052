#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_HELD_SERVICE_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_HELD_SERVICE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/traffic/traffic_simulation.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

/** The primary that is replaced. */
inline constexpr size_t kFormer = 0;
/** Time until a notice has reached all VMs, and their statements the members.
 */
inline constexpr Duration kNoticePeriod = std::chrono::milliseconds(15);

/** Options with the longest time between the order of a promotion and its
    effect. */
inline GroupOptions MakeSlowPromotionOptions() {
  GroupOptions options;
  options.promotion_delay = std::chrono::milliseconds(1000);
  return options;
}

/** A service whose VMs have used its primary for a while, and whose next
    primary is chosen by the test, like the order of another VM. */
class HeldService {
 public:
  explicit HeldService(size_t vms,
                       const GroupOptions& options = MakeSlowPromotionOptions())
      : simulation_(vms, options) {
    simulation_.SetCallerOutput(
        [this](size_t, uint64_t session, std::string_view line) {
          answers_[session] += std::string(line) + "\n";
        });
    Advance(std::chrono::seconds(8));
    CHECK(GetGroup().HasPrimaryRole(kFormer));
  }

  TrafficSimulation& GetSimulation() { return simulation_; }
  GroupModel& GetGroup() { return simulation_.GetGroup(); }
  void Advance(Duration duration) {
    EventQueue& queue = simulation_.GetQueue();
    queue.RunUntil(queue.Now() + duration);
  }
  uint64_t Open(size_t vm, const std::string& database = "entries") {
    const uint64_t session = simulation_.OpenCaller(vm);
    vms_[session] = vm;
    simulation_.Send(vm, session, "STARTUP " + database + " caller");
    return session;
  }
  void Send(uint64_t session, const std::string& id, const std::string& text) {
    simulation_.Send(vms_[session], session, "QUERY " + id + " " + text);
  }
  /** Sends a statement and checks that it succeeds. */
  void Run(uint64_t session, const std::string& id, const std::string& text) {
    Send(session, id, text);
    Advance(std::chrono::milliseconds(300));
    CHECK_TEXT(HasAnswer(session, "COMPLETE"), GetAnswers(session).c_str());
    answers_[session].clear();
  }
  bool HasAnswer(uint64_t session, std::string_view text) {
    return answers_[session].find(text) != std::string::npos;
  }
  const std::string& GetAnswers(uint64_t session) { return answers_[session]; }

  /** Announces to all VMs that the primary is being replaced. */
  void Hold(std::optional<size_t> successor) {
    simulation_.HoldCommits(
        ServiceId{simulation_.GetService()},
        EndpointId{successor ? GetGroup().GetId(*successor) : ""});
    Advance(kNoticePeriod);
  }
  void Release() {
    simulation_.ReleaseCommits(ServiceId{simulation_.GetService()});
    Advance(kNoticePeriod);
  }
  void Promote(size_t member) {
    LONGS_EQUAL(200, GetGroup().Promote(GetGroup().GetId(member), ++token_));
  }

  /** @returns how often members executed a request */
  int64_t CountExecutions(std::string_view request) {
    return CountExecutions(request, {});
  }
  /** @returns how often a member, or any if empty, executed a request */
  int64_t CountExecutions(std::string_view request, std::string_view member) {
    const auto& statements = GetGroup().GetExecutedStatements();
    return std::count_if(statements.begin(), statements.end(),
                         [&](const ExecutedStatement& it) {
                           return it.request == request &&
                                  (member.empty() || it.endpoint == member);
                         });
  }
  int64_t CountAtFormer(std::string_view request) {
    return CountExecutions(request, GetGroup().GetId(kFormer));
  }
  /** @returns whether a member's log holds the writes of a request */
  bool IsKept(size_t member, const std::string& request) {
    const std::vector<size_t>& log = GetGroup().GetLog(member);
    return std::any_of(log.begin(), log.end(), [&](size_t commit) {
      const auto& requests = GetGroup().GetCommits()[commit].requests;
      return std::find(requests.begin(), requests.end(), request) !=
             requests.end();
    });
  }
  uint64_t CountHeld(size_t vm) {
    return simulation_.GetCore(vm).GetCounters().commits_held;
  }

 private:
  TrafficSimulation simulation_;
  std::map<uint64_t, size_t> vms_;
  std::map<uint64_t, std::string> answers_;
  uint64_t token_ = 1000;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_HELD_SERVICE_H_
