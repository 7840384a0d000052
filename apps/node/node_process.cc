#include "apps/node/node_process.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

#include "apps/node/read_settings.h"

namespace magnoliareel {
namespace {

// Interval at which buffered log lines are written. Long enough to cost little,
// short enough that a killed process loses few lines.
constexpr Duration kLogFlushInterval = std::chrono::milliseconds(200);
// Interval between attempts to register in the store and to list the registered
// VMs. Until that succeeds, VMs are found through the seeds and through VMs
// that know this one.
constexpr Duration kRegistrationRetryInterval = std::chrono::seconds(1);
// Changes of the known VMs within this time are applied together: when all VMs
// start, each of them learns all others one by one.
constexpr Duration kPeerReviewDelay = std::chrono::milliseconds(50);

// An answer to a former process of this VM must not be taken for one to this
// process. The time of day may jump back, so it is not used.
uint64_t MakeFirstPermitSequence() {
  std::random_device random;
  return uint64_t{random()} << 32 | random();
}

/** @returns descriptors that the process may use: the lower one of the limits
             of the settings and of the system; 0 if neither is known */
size_t GetDescriptorLimit(const NodeSettings& settings) {
  rlimit limit{};
  const bool has_limit =
      getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  if (!has_limit) {
    return settings.max_descriptors;
  }
  return settings.max_descriptors == 0
             ? limit.rlim_cur
             : std::min<size_t>(limit.rlim_cur, settings.max_descriptors);
}

}  // namespace

NodeProcess::NodeProcess(NodeSettings settings,
                         std::string settings_path,
                         LogBuffer& log)
    : settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      log_(log),
      log_flush_timer_(loop_, [this] { FlushLog(); }),
      stop_timer_(loop_, [this] { ContinueStop(); }),
      notices_(loop_,
               [this](const TrafficNotice& notice) { HandleNotice(notice); }),
      mailbox_(loop_, [](const std::function<void()>& task) { task(); }),
      store_(loop_,
             settings_.store_address,
             [this](uint64_t era) { HandleStoreRestored(era); }),
      traffic_(
          {.vm = settings_.vm.value,
           .measure_distance =
               [this](const SiteId& site) {
                 return settings_.MeasureDistance(site);
               },
           .max_draining_use =
               GetMaxDrainingUse(settings_.endpoint_drain_period),
           .allowance_window = settings_.allowance_window,
           .first_permit_sequence = MakeFirstPermitSequence(),
           .memory = DivideMemory(settings_.memory_limit_bytes),
           .has_adaptive_placement = settings_.has_adaptive_placement},
          [this](const TrafficNotice& notice) { notices_.Post(notice); },
          metrics_,
          GetDescriptorLimit(settings_)),
      fleet_(store_, *this, settings_.vm),
      peers_(loop_, settings_.peer_address, MakePeerExchangeCallbacks()),
      bound_exchange_(loop_,
                      settings_,
                      peers_.GetPeers(),
                      MakeBoundExchangeCallbacks()),
      command_client_(loop_, settings_.vm.value),
      commands_(command_client_, *this),
      promotions_(loop_, settings_.promotion_address, settings_.vm.value),
      failover_(store_,
                commands_,
                promotions_,
                *this,
                peers_.GetPeers(),
                settings_.vm,
                settings_.site),
      slots_(store_, *this, settings_.vm),
      probe_(
          loop_,
          [this](const net::Request&, const net::HttpListener::Answer& answer) {
            answer(AnswerProbe());
          }),
      metrics_listener_(loop_,
                        [this](const net::Request& request,
                               const net::HttpListener::Answer& answer) {
                          if (request.target == "/metrics") {
                            AnswerMetrics(answer);
                          } else {
                            answer({404, {}});
                          }
                        }) {}

int NodeProcess::Run() {
  for (const auto& [name, ec] :
       {std::pair("callers", traffic_.Start(settings_.caller_address,
                                            settings_.forwarding_address)),
        std::pair("peers", peers_.Start()),
        std::pair("probe", probe_.Listen(settings_.probe_address))}) {
    if (ec) {
      LogEvent(Event::kCannotListen,
               {{"listen", std::string(name) + ": " + ec.message()}});
      FlushLog();
      return kExitCannotListen;
    }
  }
  if (settings_.metrics_address.port != 0) {
    if (const std::error_code ec =
            metrics_listener_.Listen(settings_.metrics_address)) {
      // The node serves callers even without metrics.
      LogEvent(Event::kCannotListen, {{"listen", "metrics: " + ec.message()}});
    }
  }
  LogEvent(Event::kStarted, {{"program", "magnoliareel-node"},
                             {"vm", settings_.vm.value},
                             {"listen", settings_.caller_address.Format()},
                             {"version", MAGNOLIAREEL_VERSION}});
  loop_.OnSignal(SIGTERM, [this] { BeginStop(); });
  loop_.OnSignal(SIGINT, [this] { BeginStop(); });
  loop_.OnSignal(SIGHUP, [this] { CheckSettings(); });
  log_flush_timer_.StartRepeating(kLogFlushInterval);
  fleet_.Start();
  peers_.AddPeers(settings_.seeds);
  RegisterVm();
  loop_.Run();
  traffic_.Stop();
  LogEvent(Event::kStopped, {{"program", "magnoliareel-node"}});
  FlushLog();
  return 0;
}

void NodeProcess::After(Duration pause, std::function<void()> task) {
  RunLater(loop_, pause, std::move(task));
}

void NodeProcess::Publish(std::shared_ptr<const FleetView> view) {
  failover_.Apply(*view);
  if (const TeamTable* teams = view->routes->teams.get();
      teams != nullptr && !uses_allowances_) {
    uses_allowances_ = std::any_of(
        teams->List().begin(), teams->List().end(),
        [](const auto& row) { return row.second.limit.has_value(); });
    if (uses_allowances_) {
      ReviewAllowances();
      slots_.Start();
    }
  }
  traffic_.Publish(std::move(view));
}

void NodeProcess::SendFeedConfirmation(FeedConfirmation confirmation) {
  confirmation.address = settings_.peer_address;
  const std::string bytes = EncodeFeedConfirmation(confirmation);
  for (const PeerGroup::Peer* it : peers_.GetPeers().ListLive()) {
    peers_.SendDatagram(it->last.address, bytes);
  }
}

void NodeProcess::AnnouncePrimary(const ServiceId& service,
                                  const EndpointId& endpoint) {
  traffic_.AnnouncePrimary(service, endpoint);
}

void NodeProcess::HoldCommits(const ServiceId& service,
                              const EndpointId& successor) {
  traffic_.HoldCommits(service, successor);
}

void NodeProcess::ReleaseCommits(const ServiceId& service) {
  traffic_.ReleaseCommits(service);
}

void NodeProcess::SendHeartbeats() {
  peers_.ScheduleHeartbeat();
}

bool NodeProcess::IsStoreConnected() const {
  return fleet_.IsStoreConnected();
}

bool NodeProcess::IsListed(const EndpointId& endpoint) const {
  return fleet_.IsListed(endpoint);
}

void NodeProcess::ReadDirectory(std::function<void(std::error_code)> done) {
  fleet_.ReadEndpoints(std::move(done));
}

void NodeProcess::QueryOpenConnection(const EndpointId& endpoint,
                                      std::function<void(bool)> done) {
  traffic_.QueryOpenConnection(
      endpoint, [this, done = std::move(done)](bool is_open) {
        mailbox_.Post([done, is_open] { done(is_open); });
      });
}

void NodeProcess::QueryAnsweredCommit(
    const ServiceId& service,
    std::function<void(std::optional<LogPoint>)> done) {
  traffic_.QueryAnsweredCommit(
      service, [this, done = std::move(done)](std::optional<LogPoint> point) {
        mailbox_.Post([done, point] { done(point); });
      });
}

void NodeProcess::SendAnsweredCommitQuery(const SocketAddress& to,
                                          const AnsweredCommitQuery& query) {
  peers_.SendDatagram(to, EncodeAnsweredCommitQuery(query));
}

void NodeProcess::SendAnsweredCommitResponse(
    const SocketAddress& to,
    const AnsweredCommitResponse& response) {
  peers_.SendDatagram(to, EncodeAnsweredCommitResponse(response));
}

void NodeProcess::ForwardCommand(const SocketAddress& to,
                                 const ForwardedCommand& command) {
  peers_.SendDatagram(to, EncodeForwardedCommand(command));
}

void NodeProcess::AnswerForwardedCommand(
    const SocketAddress& to,
    const ForwardedCommandResponse& response) {
  peers_.SendDatagram(to, EncodeForwardedCommandResponse(response));
}

void NodeProcess::HandleOtherDatagram(std::string_view bytes) {
  if (ForwardedCommand command; DecodeForwardedCommand(bytes, command)) {
    failover_.HandleForwardedCommand(command);
    return;
  }
  if (ForwardedCommandResponse response;
      DecodeForwardedCommandResponse(bytes, response)) {
    failover_.HandleForwardedCommandResponse(response);
    return;
  }
  if (AnsweredCommitQuery query; DecodeAnsweredCommitQuery(bytes, query)) {
    failover_.HandleAnsweredCommitQuery(query);
    return;
  }
  if (AnsweredCommitResponse response;
      DecodeAnsweredCommitResponse(bytes, response)) {
    failover_.HandleAnsweredCommitResponse(response);
    return;
  }
  if (FeedConfirmation confirmation;
      DecodeFeedConfirmation(bytes, confirmation)) {
    fleet_.RecordConfirmation(confirmation);
    peers_.HandleVersions(confirmation.address, confirmation.config_version,
                          confirmation.endpoints_version);
    return;
  }
  if (HandleAllowanceDatagram(bytes)) {
    return;
  }
  bound_exchange_.HandleDatagram(bytes);
}

PeerExchange::Callbacks NodeProcess::MakePeerExchangeCallbacks() {
  PeerExchange::Callbacks callbacks;
  callbacks.fill_heartbeat = [this](Heartbeat& heartbeat) {
    heartbeat.vm = settings_.vm;
    heartbeat.site = settings_.site;
    heartbeat.config_version = fleet_.GetRoutes()->version;
    heartbeat.endpoints_version = fleet_.GetEndpointsVersion();
    heartbeat.leaving = stopping_;
    heartbeat.forwarding_port = settings_.forwarding_address.port;
    failover_.FillHeartbeat(heartbeat);
  };
  callbacks.is_newer = [this](uint64_t config, uint64_t endpoints) {
    return fleet_.IsBehind(config, endpoints);
  };
  callbacks.renew_feeds = [this] { return fleet_.RenewFeeds(); };
  callbacks.on_heartbeat = [this](const Heartbeat& heartbeat) {
    failover_.HandleHeartbeat(heartbeat);
  };
  callbacks.list_departures = [this] {
    return failover_.ListDepartureNotices();
  };
  callbacks.on_departures = [this](std::span<const DepartureNotice> notices) {
    failover_.HandleDepartureNotices(notices);
  };
  callbacks.list_drains = [this] { return fleet_.ListDrains(); };
  callbacks.on_drains = [this](std::span<const DrainNotice> notices) {
    fleet_.HandleDrainNotices(notices);
  };
  callbacks.get_state = [this] {
    FleetState state;
    if (fleet_.GetRoutes()->version > 0) {
      state.config = fleet_.GetConfigRow();
    }
    for (const auto& [key, row] : fleet_.GetEndpointRows()) {
      state.endpoints.push_back(row);
    }
    state.endpoints_version = fleet_.GetEndpointsVersion();
    return state;
  };
  callbacks.get_status = [this] { return MakeStatus(); };
  callbacks.apply_state = [this](const FleetState& state) {
    fleet_.ApplyPeerState(state.config ? &*state.config : nullptr,
                          state.endpoints, state.endpoints_version);
  };
  callbacks.handle_other_datagram = [this](std::string_view bytes) {
    HandleOtherDatagram(bytes);
  };
  callbacks.on_peers_changed = [this] {
    if (!std::exchange(peer_review_scheduled_, true)) {
      After(kPeerReviewDelay, [this] {
        peer_review_scheduled_ = false;
        fleet_.SetLiveVms(peers_.GetPeers().CountExpected(Now()),
                          ListHolderCandidates());
        failover_.Review();
        ReviewAllowances();
      });
    }
  };
  return callbacks;
}

std::vector<HolderCandidate> NodeProcess::ListHolderCandidates() const {
  std::vector<HolderCandidate> candidates;
  if (!stopping_ && settings_.forwarding_address.port != 0) {
    candidates.push_back(
        {settings_.vm, settings_.site, settings_.forwarding_address});
  }
  for (const PeerGroup::Peer* it : peers_.GetPeers().ListLive()) {
    const Heartbeat& last = it->last;
    if (last.forwarding_port != 0) {
      candidates.push_back(
          {last.vm, last.site, {last.address.host, last.forwarding_port}});
    }
  }
  return candidates;
}

FreshnessBoundExchange::Callbacks NodeProcess::MakeBoundExchangeCallbacks() {
  FreshnessBoundExchange::Callbacks callbacks;
  callbacks.send = [this](const SocketAddress& address,
                          std::string_view bytes) {
    peers_.SendDatagram(address, bytes);
  };
  callbacks.answer_query =
      [this](const FreshnessBoundQuery& query,
             std::function<void(const FreshnessBound&)> answer) {
        traffic_.HandleBoundQuery(query, std::move(answer));
      };
  callbacks.record_bound = [this](const FreshnessBound& bound,
                                  TimePoint sent_at) {
    traffic_.RecordPeerBound(bound, sent_at);
  };
  callbacks.query_primary = [this](const ServiceId& service) {
    traffic_.RequestPrimaryBound(service);
  };
  return callbacks;
}

NodeStatus NodeProcess::MakeStatus() const {
  NodeStatus status;
  status.vm = settings_.vm;
  status.site = settings_.site;
  status.ready = !stopping_ && fleet_.IsUsable();
  status.store_connected = fleet_.IsStoreConnected();
  status.config_version = fleet_.GetRoutes()->version;
  status.directory_version = fleet_.GetEndpointsVersion();
  status.live_vms = peers_.GetPeers().CountLive();
  status.sessions = traffic_.CountSessions();
  for (const auto& [service, token] : failover_.ListDuties()) {
    status.duties.push_back({service, token});
  }
  for (const auto& [service, endpoint] : failover_.ListPrimaries()) {
    status.primaries.push_back({service, endpoint});
  }
  return status;
}

void NodeProcess::HandleStoreRestored(uint64_t era) {
  LogEvent(Event::kStoreRestored, {{"era", std::to_string(era)}});
  // The registration and the duties' rows may be younger than the copy.
  RegisterVm();
  failover_.HandleStoreRestored();
  slots_.HandleStoreRestored();
}

void NodeProcess::RegisterVm() {
  store_.Put(kVmTable, settings_.vm.value, settings_.peer_address.Format(),
             [this](std::error_code ec, const StoredRows&) {
               if (ec) {
                 After(kRegistrationRetryInterval, [this] { RegisterVm(); });
                 return;
               }
               ListRegisteredVms();
             });
}

void NodeProcess::ListRegisteredVms() {
  ListAllRows(
      store_, kVmTable, [this](std::error_code ec, const StoredRows& vms) {
        if (ec) {
          After(kRegistrationRetryInterval, [this] { ListRegisteredVms(); });
          return;
        }
        std::vector<SocketAddress> addresses;
        for (const StoredRow& it : vms.rows) {
          if (SocketAddress address; ParseSocketAddress(it.value, address)) {
            addresses.push_back(std::move(address));
          }
        }
        peers_.AddPeers(addresses);
      });
}

net::Reply NodeProcess::AnswerProbe() {
  const bool ready = !stopping_ && fleet_.IsUsable();
  if (ready != std::exchange(ready_, ready)) {
    LogEvent(Event::kReadinessChanged,
             {{"ready", ready ? "yes" : "no"},
              {"reason", stopping_ ? "stopping" : "configuration"}});
  }
  return {ready ? 200 : 503, {}};
}

void NodeProcess::AnswerMetrics(const net::HttpListener::Answer& answer) {
  traffic_.CollectGauges([this, answer](GaugeSnapshot gauges) {
    mailbox_.Post([this, answer, gauges = std::move(gauges)]() mutable {
      gauges.Add("config_version", "Configuration version in force.", {},
                 static_cast<double>(fleet_.GetRoutes()->version));
      gauges.Add("directory_version", "Newest row of the directory.", {},
                 static_cast<double>(fleet_.GetEndpointsVersion()));
      gauges.Add("store_connected", "1 while the platform's store answers.", {},
                 fleet_.IsStoreConnected() ? 1 : 0);
      if (const auto at = fleet_.GetConfirmedAt()) {
        gauges.Add("store_knowledge_age_seconds",
                   "Time before which no change of the configuration or the "
                   "directory is missing, ago.",
                   {}, std::chrono::duration<double>(Now() - *at).count());
      }
      gauges.Add("live_vms", "VMs that are heard, this one included.", {},
                 peers_.GetPeers().CountLive());
      for (const auto& [service, token] : failover_.ListDuties()) {
        gauges.Add("duty_fencing_token", "Failover duties that this VM holds.",
                   {{"service", service.value}}, static_cast<double>(token));
      }
      gauges.Add("log_lines_dropped", "Log lines dropped, since the start.", {},
                 static_cast<double>(log_.GetDroppedCount()));
      answer({200, gauges.RenderText() + metrics_.RenderText()});
    });
  });
}

void NodeProcess::HandleNotice(const TrafficNotice& notice) {
  if (notice.query) {
    bound_exchange_.SendQuery(*notice.query);
    return;
  }
  if (notice.permit_request) {
    const auto& [to, request] = *notice.permit_request;
    SendPermitRequest(to, request);
    return;
  }
  if (notice.primary_confirmed) {
    failover_.HandlePrimaryConfirmed(notice.report.endpoint, notice.term);
    return;
  }
  failover_.HandleConditionReport(notice.report);
}

void NodeProcess::CheckSettings() const {
  // Names and addresses cannot change while connections are open, so a changed
  // file takes effect at the next start. Its faults are logged right away.
  NodeSettings settings;
  Findings findings;
  ReadNodeSettings(settings_path_, settings, findings);
  LogEvent(
      Event::kSettingsReloaded,
      {{"findings", findings.IsEmpty() ? "none" : findings.FormatLines()}});
}

void NodeProcess::BeginStop() {
  if (std::exchange(stopping_, true)) {
    return;
  }
  stop_.emplace(Now(), settings_.stop_grace);
  LogEvent(Event::kStopping,
           {{"in_progress", std::to_string(traffic_.CountSessions())}});
  failover_.StopCoordinating();
  peers_.ScheduleHeartbeat();
  traffic_.BeginDrain({.transactions = stop_->GetTransactionPeriod(),
                       .statements = stop_->GetStatementPeriod(),
                       .answers = stop_->GetAnswerPeriod()});
  stop_timer_.StartRepeating(ShutdownSequence::kPollInterval);
}

void NodeProcess::ContinueStop() {
  const ShutdownDecision decision =
      stop_->Decide(Now(), traffic_.CountSessions());
  if (!decision.accept_callers) {
    traffic_.StopAccepting();
  }
  if (decision.exit_now) {
    LogEvent(Event::kDrainProgress,
             {{"sessions", std::to_string(traffic_.CountSessions())}});
    loop_.Stop();
  }
}

void NodeProcess::FlushLog() {
  if (const uint64_t n = log_.Drain(STDOUT_FILENO); n > 0) {
    LogEvent(Event::kLinesDropped, {{"lines", std::to_string(n)}});
  }
}

}  // namespace magnoliareel
