#include "tests/interleavings/search_vm.h"

#include "tests/interleavings/search_world.h"

namespace magnoliareel {
namespace {

// Statements repeat their observation at least this often.
constexpr Duration kStoreDelay = std::chrono::milliseconds(4);
constexpr Duration kReportInterval = std::chrono::milliseconds(300);
constexpr Duration kHeartbeatDelay = std::chrono::milliseconds(5);
constexpr Duration kCommitHold = std::chrono::seconds(2);

uint64_t HashStatus(std::error_code ec, const ReplicationStatus& status) {
  return StateHash()
      .Add(static_cast<uint64_t>(ec.value()))
      .Add(status.is_primary ? 1 : 0)
      .Add(status.term.value)
      .Add(status.received.term.value)
      .Add(status.received.position.value)
      .Add(status.paused_at.value)
      .Get();
}

uint64_t HashPoint(const std::optional<LogPoint>& point) {
  return point ? StateHash()
                     .Add(point->term.value)
                     .Add(point->position.value)
                     .Get()
               : 0;
}

uint64_t HashView(const FleetView& view) {
  StateHash hash;
  for (const EndpointEntry& it : view.endpoints) {
    hash.Add(it.id.value)
        .Add((it.claims_primary ? 2U : 0U) + (it.draining ? 1U : 0U));
  }
  return hash.Get();
}

uint64_t HashHeartbeat(const Heartbeat& heartbeat,
                       std::span<const DepartureNotice> departures) {
  StateHash hash;
  for (const ConditionReport& it : heartbeat.suspicions) {
    hash.Add(it.endpoint.value).Add(static_cast<uint64_t>(it.condition));
  }
  for (const HeldDuty& it : heartbeat.duties) {
    hash.Add(it.fencing_token);
  }
  for (const PromotionNotice& it : heartbeat.promotions) {
    hash.Add(it.endpoint.value).Add(it.fencing_token);
  }
  for (const ReplacementNotice& it : heartbeat.replacements) {
    hash.Add(it.successor.value).Add(it.fencing_token);
  }
  for (const DepartureNotice& it : departures) {
    hash.Add(it.endpoint.value).Add(it.accounted ? 1 : 0);
  }
  return hash.Get();
}

}  // namespace

void VmServices::RecordInput(uint64_t content) {
  history_.Add(static_cast<uint64_t>(world_.Now().time_since_epoch().count()))
      .Add(content);
}

void VmServices::Deliver(std::function<void()> task) {
  if (!is_alive_) {
    return;
  }
  if (const Duration delay = frozen_until_ - world_.Now();
      delay > Duration(0)) {
    // What has come in is a function of the state at this time.
    RecordInput(world_.HashState({}));
    world_.After(delay, [this, task = std::move(task)] { Deliver(task); });
    return;
  }
  task();
}

void VmServices::Get(std::string_view,
                     std::string_view key,
                     RowsCompletion done) {
  world_.ReadRow(index_, [this, key = std::string(key),
                          done = std::move(done)](const StoredRow& read) {
    Deliver([this, key, done, row = read]() mutable {
      RecordInput(row.version);
      StoredRows rows;
      rows.version = row.version;
      if (row.version > 0) {
        row.key = key;
        rows.rows.push_back(std::move(row));
      }
      done({}, rows);
    });
  });
}

void VmServices::WriteIf(std::string_view,
                         std::string_view,
                         std::string_view value,
                         uint64_t version,
                         RowsCompletion done) {
  world_.WriteRow(
      index_, std::string(value), version,
      [this, done = std::move(done)](std::error_code ec, uint64_t written) {
        Deliver([this, done, ec, written] {
          RecordInput(written + (static_cast<uint64_t>(ec.value()) << 32U));
          StoredRows rows;
          rows.version = written;
          done(ec, rows);
        });
      });
}

void VmServices::Send(const EndpointEntry& endpoint,
                      const EndpointCommand& command,
                      Duration timeout,
                      EndpointCommandCompletion done) {
  world_.SendCommand(index_, endpoint.id, command, timeout,
                     [this, done = std::move(done)](
                         std::error_code ec, const ReplicationStatus& status) {
                       Deliver([this, done, ec, status] {
                         RecordInput(HashStatus(ec, status));
                         done(ec, status);
                       });
                     });
}

void VmServices::Promote(const ServiceId&,
                         const EndpointId& endpoint,
                         uint64_t fencing_token,
                         std::function<void(std::error_code)> done) {
  world_.OrderPromotion(index_, endpoint, fencing_token,
                        [this, done = std::move(done)](std::error_code ec) {
                          Deliver([this, done, ec] {
                            RecordInput(static_cast<uint64_t>(ec.value()));
                            done(ec);
                          });
                        });
}

SearchVm::SearchVm(SearchWorld& world, size_t index)
    : world_(world),
      index_(index),
      address_{"127.0.0.1", static_cast<uint16_t>(index + 1)},
      services_(world, index),
      peers_(address_),
      failover_(services_,
                services_,
                services_,
                *this,
                peers_,
                VmId{"vm-" + std::to_string(index)},
                SiteId{"site"}) {
  services_.RecordInput(index);
}

TimePoint SearchVm::Now() const {
  return world_.Now();
}

void SearchVm::After(Duration delay, std::function<void()> task) {
  world_.After(delay,
               [this, task = std::move(task)] { services_.Deliver(task); });
}

void SearchVm::AnnouncePrimary(const ServiceId&, const EndpointId& endpoint) {
  target_ = endpoint;
  keeps_target_until_ = Now() + PrimaryTracker::kPromotionGracePeriod;
}

void SearchVm::HoldCommits(const ServiceId&, const EndpointId& successor) {
  hold_ = {successor, Now() + kCommitHold};
}

void SearchVm::ReleaseCommits(const ServiceId&) {
  hold_.reset();
}

void SearchVm::SendHeartbeats() {
  if (!std::exchange(heartbeat_scheduled_, true)) {
    After(kHeartbeatDelay, [this] {
      heartbeat_scheduled_ = false;
      world_.SendHeartbeat(index_);
    });
  }
}

bool SearchVm::IsListed(const EndpointId& endpoint) const {
  const std::vector<EndpointEntry> listed = world_.MakeView().endpoints;
  return std::any_of(
      listed.begin(), listed.end(),
      [&](const EndpointEntry& it) { return it.id == endpoint; });
}

void SearchVm::ReadDirectory(const std::function<void(std::error_code)>& done) {
  After(kStoreDelay, [this, done] {
    Apply(world_.MakeView());
    done({});
  });
}

void SearchVm::ForwardCommand(const SocketAddress& to,
                              const ForwardedCommand& command) {
  world_.SendToVm(
      to, [command](SearchVm& vm) { vm.HandleForwardedCommand(command); });
}

void SearchVm::AnswerForwardedCommand(
    const SocketAddress& to,
    const ForwardedCommandResponse& response) {
  world_.SendToVm(to, [response](SearchVm& vm) {
    vm.HandleForwardedCommandResponse(response);
  });
}

void SearchVm::QueryAnsweredCommit(
    const ServiceId&,
    const std::function<void(std::optional<LogPoint>)>& done) {
  After(Duration(0), [this, done] {
    const std::optional<LogPoint>& point = answered_commits_.GetProven();
    services_.RecordInput(HashPoint(point));
    done(point);
  });
}

void SearchVm::SendAnsweredCommitQuery(const SocketAddress& to,
                                       const AnsweredCommitQuery& query) {
  world_.SendToVm(to, [query](SearchVm& vm) {
    vm.services_.RecordInput(query.id);
    vm.failover_.HandleAnsweredCommitQuery(query);
  });
}

void SearchVm::SendAnsweredCommitResponse(
    const SocketAddress& to,
    const AnsweredCommitResponse& response) {
  world_.SendToVm(to, [response](SearchVm& vm) {
    vm.services_.RecordInput(
        StateHash().Add(response.id).Add(HashPoint(response.point)).Get());
    vm.failover_.HandleAnsweredCommitResponse(response);
  });
}

void SearchVm::RecordSentCommit(uint32_t commit, const EndpointId& endpoint) {
  ends_before_[commit] =
      known_end_.first == endpoint ? known_end_.second : LogPoint{};
}

void SearchVm::RecordAnswer(uint32_t commit, LogPoint end) {
  if (const auto node = ends_before_.extract(commit)) {
    answered_commits_.RecordAnswered(node.mapped(), end);
  }
}

void SearchVm::AddAnswers(StateHash& hash) const {
  hash.Add(HashPoint(answered_commits_.GetProven()))
      .Add(known_end_.first.value)
      .Add(HashPoint(known_end_.second));
  for (const auto& [commit, end] : ends_before_) {
    hash.Add(commit).Add(HashPoint(end));
  }
}

void SearchVm::HandleForwardedCommand(const ForwardedCommand& command) {
  services_.RecordInput(StateHash()
                            .Add(command.id)
                            .Add(command.endpoint.value)
                            .Add(static_cast<uint64_t>(command.command.kind))
                            .Add(command.command.term.value)
                            .Get());
  failover_.HandleForwardedCommand(command);
}

void SearchVm::HandleForwardedCommandResponse(
    const ForwardedCommandResponse& response) {
  services_.RecordInput(StateHash()
                            .Add(response.id)
                            .Add(static_cast<uint64_t>(response.result))
                            .Add(HashStatus({}, response.status))
                            .Get());
  failover_.HandleForwardedCommandResponse(response);
}

void SearchVm::Apply(const FleetView& view) {
  services_.RecordInput(HashView(view));
  view_ = view;
  failover_.Apply(view);
}

void SearchVm::HandleHeartbeat(const Heartbeat& heartbeat,
                               std::span<const DepartureNotice> departures) {
  services_.RecordInput(HashHeartbeat(heartbeat, departures));
  const bool is_new = peers_.RecordHeartbeat(heartbeat, Now());
  failover_.HandleHeartbeat(heartbeat);
  failover_.HandleDepartureNotices(departures);
  if (is_new) {
    failover_.Review();
  }
}

Heartbeat SearchVm::MakeHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.vm = VmId{"vm-" + std::to_string(index_)};
  heartbeat.site = SiteId{"site"};
  heartbeat.address = address_;
  failover_.FillHeartbeat(heartbeat);
  return heartbeat;
}

void SearchVm::HandlePeriod() {
  peers_.Sweep(Now());
  failover_.Review();
  world_.SendHeartbeat(index_);
}

void SearchVm::Report(EndpointCondition condition) {
  if (Now() < next_report_at_) {
    return;
  }
  next_report_at_ = Now() + kReportInterval;
  services_.RecordInput(static_cast<uint64_t>(condition));
  failover_.HandleConditionReport({target_, condition});
}

bool SearchVm::UsePrimary(const EndpointId& id) {
  const std::optional<Term> term = world_.FindLedTerm(index_, id);
  if (!term) {
    return false;
  }
  target_ = id;
  known_end_ = {id, *world_.FindLedEnd(index_, id)};
  // A traffic thread reports each term once.
  if (*term > confirmed_term_) {
    RecordConfirmed(id, *term);
  }
  return true;
}

void SearchVm::RecordConfirmed(const EndpointId& id, Term term) {
  if (hold_ && hold_->successor == id && term > confirmed_term_) {
    hold_.reset();
  }
  confirmed_term_ = std::max(confirmed_term_, term);
  services_.RecordInput(term.value);
  failover_.HandlePrimaryConfirmed(id, term);
}

void SearchVm::ObserveTraffic() {
  if (UsePrimary(target_)) {
    if (world_.HasStalledCommit()) {
      Report(EndpointCondition::kCommitsStalled);
    }
    return;
  }
  if (!target_.IsEmpty() && !world_.Reaches(index_, target_)) {
    Report(EndpointCondition::kUnreachable);
  }
  if (Now() < keeps_target_until_) {
    return;
  }
  for (const EndpointEntry& it : view_.endpoints) {
    if (it.claims_primary && UsePrimary(it.id)) {
      return;
    }
  }
}

void SearchVm::ReceiveFirstReply() {
  for (const EndpointEntry& it : view_.endpoints) {
    if (const std::optional<Term> term = world_.FindLedTerm(index_, it.id)) {
      services_.RecordInput(term->value);
      failover_.HandlePrimaryConfirmed(it.id, *term);
      return;
    }
  }
}

}  // namespace magnoliareel
