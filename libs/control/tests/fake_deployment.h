#ifndef MAGNOLIAREEL_CONTROL_TESTS_FAKE_DEPLOYMENT_H_
#define MAGNOLIAREEL_CONTROL_TESTS_FAKE_DEPLOYMENT_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control/control.h"
#include "coordination/tests/fake_duty_row_codec.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

/** The service of a FakeDeployment. */
inline const ServiceId kFakeService{"groyne-logs"};

/** Simulates the store, endpoints, platform, clock and node of one
    FailoverControl. */
class FakeDeployment {
 public:
  FakeDeployment() {
    for (const char* it : {"db-1", "db-2", "db-3"}) {
      Add(it);
    }
    SetSyncReplicas(1);
  }

  /** Sets how many replicas must hold a commit before it is acknowledged. */
  void SetSyncReplicas(uint32_t n) {
    auto routes = std::make_shared<RouteTable>();
    routes->services[kFakeService] = {32, n};
    view_.routes = std::move(routes);
  }
  /** Removes all services from the configuration. */
  void RemoveServices() { view_.routes = std::make_shared<RouteTable>(); }

  // RowStore
  void List(std::string_view, std::string_view, const RowsCompletion&) {}
  void Get(std::string_view, std::string_view key, const RowsCompletion& done) {
    StoredRows rows;
    if (row_version_ > 0) {
      rows.rows.push_back({std::string(key), row_value_, row_version_, false});
    }
    done({}, rows);
  }
  void Follow(std::string_view, uint64_t, Duration, const RowsCompletion&) {}
  void Poll(std::string_view, uint64_t, const RowsCompletion&) {}
  void WriteIf(std::string_view,
               std::string_view,
               std::string_view value,
               uint64_t version,
               const RowsCompletion& done) {
    if (is_store_down) {
      done(Error::kStoreUnavailable, {});
      return;
    }
    if (version != row_version_) {
      done(Error::kVersionConflict, {});
      return;
    }
    ++write_count;
    row_value_ = value;
    StoredRows rows;
    rows.version = ++row_version_;
    done({}, rows);
  }
  void Put(std::string_view,
           std::string_view,
           std::string_view,
           const RowsCompletion&) {}

  // EndpointCommandSender
  void Send(const EndpointEntry& endpoint,
            const EndpointCommand& command,
            Duration,
            const EndpointCommandCompletion& done) {
    if (endpoint.id.value == stopped) {
      done(Error::kEndpointStopped, {});
      return;
    }
    ReplicationStatus status;
    if (command.kind == EndpointCommandKind::kDemote) {
      demoted.push_back(endpoint.id.value);
      RecordHoldStep("demote " + endpoint.id.value);
    }
    if (command.kind == EndpointCommandKind::kDemote &&
        endpoint.id.value == primary && endpoint.id.value != unresponsive) {
      primary.clear();
    }
    status.is_primary = endpoint.id.value == primary;
    status.term = Term{term};
    const auto end = log_ends.find(endpoint.id.value);
    const auto end_term = log_terms.find(endpoint.id.value);
    status.received = {Term{end_term == log_terms.end() ? 1 : end_term->second},
                       LogPosition{end == log_ends.end() ? 7 : end->second}};
    if (endpoint.id.value == unresponsive ||
        (endpoint.id.value == fails_pause &&
         command.kind == EndpointCommandKind::kPause)) {
      done(Error::kAnswerLost, {});
      return;
    }
    if (command.kind == EndpointCommandKind::kPause) {
      paused[endpoint.id.value] = command.term;
    } else if (command.kind == EndpointCommandKind::kResume) {
      paused.erase(endpoint.id.value);
    }
    const auto it = paused.find(endpoint.id.value);
    status.paused_at = it == paused.end() ? Term{} : it->second;
    done({}, status);
  }

  // PromotionSender
  void Promote(const ServiceId&,
               const EndpointId& endpoint,
               uint64_t token,
               const std::function<void(std::error_code)>& done) {
    promotions.emplace_back(endpoint.value, token);
    RecordHoldStep("promote " + endpoint.value);
    if (rejected_promotions > 0) {
      --rejected_promotions;
      done(Error::kUnreachable);
      return;
    }
    if (lost_promotion_replies > 0) {
      --lost_promotion_replies;
      done(Error::kAnswerLost);
      return;
    }
    if (ineffective_promotions > 0) {
      --ineffective_promotions;
    } else if (primary != endpoint.value) {
      primary = endpoint.value;
      ++term;
    }
    done({});
  }

  // FailoverDelegate
  TimePoint Now() const { return now_; }
  void After(Duration pause, std::function<void()> task) {
    tasks_.emplace(now_ + pause, std::move(task));
  }
  void AnnouncePrimary(const ServiceId&, const EndpointId&) {}
  void HoldCommits(const ServiceId&, const EndpointId& successor) {
    RecordHoldStep("hold " + successor.value);
  }
  void ReleaseCommits(const ServiceId&) { RecordHoldStep("release"); }
  void SendHeartbeats() { RecordHoldStep("heartbeat"); }
  bool IsStoreConnected() const { return true; }
  bool IsListed(const EndpointId& endpoint) const {
    return std::any_of(
        view_.endpoints.begin(), view_.endpoints.end(),
        [&](const EndpointEntry& it) { return it.id == endpoint; });
  }
  void ReadDirectory(const std::function<void(std::error_code)>& done) {
    on_directory_read();
    done(is_store_down ? make_error_code(Error::kStoreUnavailable)
                       : std::error_code{});
  }
  void ForwardCommand(const SocketAddress&, const ForwardedCommand&) {}
  void AnswerForwardedCommand(const SocketAddress&,
                              const ForwardedCommandResponse&) {}
  void QueryAnsweredCommit(
      const ServiceId&,
      const std::function<void(std::optional<LogPoint>)>& done) {
    done(answered);
  }
  void SendAnsweredCommitQuery(const SocketAddress& to,
                               const AnsweredCommitQuery& query) {
    answer_queries.emplace_back(to, query);
  }
  void SendAnsweredCommitResponse(const SocketAddress& to,
                                  const AnsweredCommitResponse& response) {
    answer_responses.emplace_back(to, response);
  }

  void Advance(Duration span) {
    const TimePoint end = now_ + span;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }
  /** @param draining  the draining endpoint; empty for none */
  const FleetView& MakeView(const std::string& draining) {
    for (EndpointEntry& it : view_.endpoints) {
      it.claims_primary = it.id.value == primary;
      it.draining = it.id.value == draining;
    }
    return view_;
  }
  /** @returns the view with the roles that the endpoints reported last */
  const FleetView& GetView() const { return view_; }
  /** Sets the version of the directory that the view shows. */
  void SetEndpointsVersion(uint64_t version) {
    view_.endpoints_version = version;
    view_.endpoints_changed_at = now_;
  }
  /** Adds an endpoint to the directory. */
  void Add(const std::string& endpoint) {
    EndpointEntry entry;
    entry.id.value = endpoint;
    entry.service = kFakeService;
    view_.endpoints.push_back(std::move(entry));
  }
  /** Removes an endpoint from the directory. */
  void Remove(const std::string& endpoint) {
    std::erase_if(view_.endpoints, [&](const EndpointEntry& it) {
      return it.id.value == endpoint;
    });
  }

  /** @returns the value of the duty's row */
  const std::string& GetRowValue() const { return row_value_; }
  /** Removes the duty's row, as a restoration of the store may. */
  void LoseRow() { row_version_ = 0; }

  std::string primary = "db-1";
  bool is_store_down = false;
  // Number of writes to the store.
  int write_count = 0;
  uint64_t term = 1;
  int lost_promotion_replies = 0;
  // Number of promotions that the platform does not accept.
  int rejected_promotions = 0;
  // Number of promotions that are accepted without effect.
  int ineffective_promotions = 0;
  // Ends of the endpoints' logs; 7 for those that are not named.
  std::map<std::string, uint64_t> log_ends;
  // Terms of these ends; 1 for those that are not named.
  std::map<std::string, uint64_t> log_terms;
  // Endpoint that does not answer; empty for none.
  std::string unresponsive;
  // Endpoint that does not run; empty for none.
  std::string stopped;
  // Endpoint that does not answer a pause; empty for none.
  std::string fails_pause;
  std::vector<std::pair<std::string, uint64_t>> promotions;
  // Endpoints that were sent a demotion.
  std::vector<std::string> demoted;
  // Paused endpoints with the term of the pause. At a real endpoint a promotion
  // ends the pauses below its term; here it ends none.
  std::map<std::string, Term> paused;
  // Newest commit that this VM has answered; none if it knows of none.
  std::optional<LogPoint> answered;
  // Messages to other VMs about answered commits.
  std::vector<std::pair<SocketAddress, AnsweredCommitQuery>> answer_queries;
  std::vector<std::pair<SocketAddress, AnsweredCommitResponse>>
      answer_responses;
  // Holds, their ends, heartbeats, demotions that were received, and orders;
  // repeated holds are left out.
  std::vector<std::string> hold_steps;
  std::function<void()> on_directory_read = [] {};
  // Number of holds.
  int hold_count = 0;

 private:
  void RecordHoldStep(const std::string& step) {
    const bool is_hold = step.starts_with("hold");
    hold_count += is_hold ? 1 : 0;
    if (!is_hold || std::find(hold_steps.begin(), hold_steps.end(), step) ==
                        hold_steps.end()) {
      hold_steps.push_back(step);
    }
  }

  FleetView view_;
  uint64_t row_version_ = 0;
  std::string row_value_;
  TimePoint now_{std::chrono::seconds(100)};
  std::multimap<TimePoint, std::function<void()>> tasks_;
};

using Failover = FailoverControl<FakeDeployment,
                                 FakeDutyRowCodec,
                                 FakeDeployment,
                                 FakeDeployment,
                                 FakeDeployment>;

/** A FailoverControl of one VM and its deployment; base of test groups. */
struct FailoverGroup : Utest {
  FakeDeployment fake;
  PeerGroup peers{SocketAddress{"127.0.0.1", 1}};
  Failover failover{fake, fake, fake, fake, peers, VmId{"vm"}, SiteId{"site"}};

  void ReplaceDraining(const std::string& draining) {
    failover.Apply(fake.MakeView(draining));
    fake.Advance(std::chrono::seconds(2));
    failover.HandlePrimaryConfirmed(EndpointId{fake.primary}, Term{fake.term});
    failover.Apply(fake.MakeView(draining));
    RunWithReviews(3);
  }

  // Lets the VM claim the duty and order the present primary under its token.
  void SettleOrders() {
    failover.Apply(fake.MakeView(""));
    RunWithReviews(8);
    fake.promotions.clear();
  }

  // Reviews once a second, like a node in every heartbeat period.
  void RunWithReviews(int seconds) {
    for (int n = 0; n < seconds; ++n) {
      failover.Review();
      fake.Advance(std::chrono::seconds(1));
    }
  }
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_TESTS_FAKE_DEPLOYMENT_H_
