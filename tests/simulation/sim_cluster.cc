#include "tests/simulation/sim_cluster.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace magnoliareel::sim {
namespace {

constexpr int kVmCount = 3;
constexpr int kGroupCount = 2;
constexpr int kEndpointsPerGroup = 3;
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1000);

SiteId MakeSite(int n) {
  return {"site-" + std::to_string(n)};
}

std::shared_ptr<const Deployment> MakeDeployment() {
  auto deployment = std::make_shared<Deployment>();
  deployment->version = 1;
  ServiceConfig service;
  service.service.value = "logs";
  service.default_deadline = std::chrono::seconds(3);
  service.max_deadline = std::chrono::seconds(60);
  service.transaction_idle_limit = std::chrono::seconds(3);
  for (int g = 0; g < kGroupCount; ++g) {
    GroupConfig& group = service.groups.emplace_back();
    group.group.value = "group-" + std::to_string(g);
    for (int e = 0; e < kEndpointsPerGroup; ++e) {
      group.endpoints.push_back(
          {{group.group.value + "-" + std::to_string(e)}, MakeSite(e), 3, 16});
    }
  }
  deployment->document.services.push_back(service);
  deployment->document.callers.push_back(
      {{"crew"}, {HashSha256("key")}, {{"logs"}}});
  for (int n = 0; n < kVmCount; ++n) {
    const std::string vm = "vm-" + std::to_string(n);
    deployment->vms.push_back({{vm}, MakeSite(n), vm, vm, false});
  }
  deployment->ownership = Ownership(deployment->document, deployment->vms);
  return deployment;
}

SealingKey MakeKey() {
  SealingKey key{};
  key.fill(7);
  return key;
}

standin::EndpointSettings MakeEndpointSettings() {
  standin::EndpointSettings settings;
  settings.slots = 3;
  settings.connections = 16;
  settings.connect_ms = 3;
  return settings;
}

void PrintTrace(SimCluster& cluster,
                const std::string& vm,
                const std::string& text) {
  std::printf("%8ld us %s %s\n", cluster.Now().time_since_epoch().count(),
              vm.c_str(), text.c_str());
}

/** Prints a pooler's events, to analyse a single seed. */
PoolerEvents MakeTracingEvents(SimCluster& cluster, const std::string& vm) {
  PoolerEvents events = PoolerEvents::Ignore();
  events.on_primary = [&cluster, vm](const GroupId& group,
                                     const PrimaryView& primary) {
    PrintTrace(cluster, vm,
               group.value + " primary " + primary.endpoint.value + " term " +
                   std::to_string(primary.term.value));
  };
  events.on_promotion_started = [&cluster, vm](const GroupId& group, Term term,
                                               PromotionReason reason) {
    PrintTrace(cluster, vm,
               group.value + " promotion started, term " +
                   std::to_string(term.value) + ", " +
                   std::string(GetPromotionReasonName(reason)));
  };
  events.on_promotion_ended = [&cluster, vm](const GroupId& group,
                                             const PromotionResult& result,
                                             Duration) {
    PrintTrace(cluster, vm,
               group.value + " promotion ended, term " +
                   std::to_string(result.term.value) + ": primary " +
                   result.primary.value + " " + result.ec.message());
  };
  events.on_ack_missed = [&cluster, vm](const GroupId& group, LogPoint point) {
    PrintTrace(cluster, vm,
               group.value + " write not acknowledged in time: " +
                   std::to_string(point.term.value) + "/" +
                   std::to_string(point.position.value));
  };
  return events;
}

}  // namespace

void SimEndpointLink::Call(const EndpointId& endpoint,
                           EndpointCall call,
                           Duration timeout,
                           EndpointCompletion done) {
  SimEndpoint& target = cluster_.GetEndpoint(endpoint);
  call.client = client_;
  cluster_.GetNetwork().Call<EndpointAnswer>(
      node_, target.node,
      [&target, call = std::move(call)](
          const std::function<void(EndpointAnswer)>& answer) {
        target.model.Accept(call, {answer, [] {}});
      },
      timeout,
      [done = std::move(done)](std::error_code ec, EndpointAnswer answer) {
        done({ec, std::move(answer)});
      });
}

void SimGrantStore::ReadGrants(const GroupId& group, GrantCompletion done) {
  const auto& [row, version] = cluster_.GetGrantTable().rows[group];
  Reply({{}, row, version}, std::move(done), false);
}

void SimGrantStore::WriteGrants(const GroupId& group,
                                uint64_t expected_version,
                                const GrantRow& row,
                                GrantCompletion done) {
  SimGrantTable& table = cluster_.GetGrantTable();
  auto& [stored, version] = table.rows[group];
  GrantReply reply;
  if (table.is_unavailable) {
    reply.ec = Error::kStoreUnavailable;
  } else if (version != expected_version) {
    reply = {Error::kVersionConflict, stored, version};
  } else {
    stored = row;
    reply = {{}, row, ++version};
  }
  Reply(std::move(reply), std::move(done), true);
}

void SimGrantStore::Reply(GrantReply reply,
                          GrantCompletion done,
                          bool is_write) {
  SimGrantTable& table = cluster_.GetGrantTable();
  Duration delay = std::chrono::milliseconds(2);
  const bool is_lost = is_write && table.answers_to_lose > 0;
  if (is_lost) {
    --table.answers_to_lose;
  }
  if (table.is_unavailable || is_lost) {
    delay = kStoreTimeout;
    reply = {Error::kStoreUnavailable, {}, 0};
  }
  node_.After(delay, [done = std::move(done), reply = std::move(reply)] {
    done(reply);
  });
}

void SimPoolerLink::Call(const std::string& address,
                         const PoolerRequest& request,
                         Duration timeout,
                         PoolerReplyCompletion done) {
  SimPooler& target = cluster_.GetPooler({address});
  PoolerRequest sent = request;
  if (!cluster_.GetOptions().sends_session_watermarks) {
    sent.required = {};
  }
  cluster_.GetNetwork().Call<PoolerAnswer>(
      node_, target.node,
      [&target, sent](const std::function<void(PoolerAnswer)>& answer) {
        target.core.Submit(sent, [answer](PoolerAnswer result, PoolerTimings) {
          answer(std::move(result));
        });
      },
      timeout,
      [done = std::move(done)](std::error_code ec, PoolerAnswer answer) {
        done({ec, std::move(answer)});
      });
}

void SimPoolerLink::Ping(const std::string& address,
                         Duration timeout,
                         const PingCompletion& done) {
  cluster_.GetNetwork().Call<bool>(
      node_, cluster_.GetPooler({address}).node,
      [](const std::function<void(bool)>& answer) { answer(true); }, timeout,
      [done](std::error_code ec, bool) { done(ec); });
}

SimEndpoint::SimEndpoint(SimCluster& cluster, const std::string& name)
    : node(std::make_shared<SimNode>(cluster.GetExecutor(), name)),
      model(*node,
            MakeEndpointSettings(),
            [this, &cluster](
                const std::string& address,
                const EndpointCall& call,
                const standin::EndpointModel<SimNode>::FetchCompletion& done) {
              SimEndpoint& primary = cluster.GetEndpoint({address});
              cluster.GetNetwork().Call<EndpointAnswer>(
                  *node, primary.node,
                  [&primary,
                   call](const std::function<void(EndpointAnswer)>& answer) {
                    primary.model.Accept(call, {answer, [] {}});
                  },
                  std::chrono::seconds(1),
                  [done](std::error_code ec, EndpointAnswer answer) {
                    done(ec ? std::nullopt : std::optional(std::move(answer)));
                  });
            }) {}

SimPooler::SimPooler(SimCluster& cluster,
                     const std::string& vm,
                     const std::string& incarnation)
    : node(std::make_shared<SimNode>(cluster.GetExecutor(), "pooler-" + vm)),
      link(cluster, *node, vm + "-" + incarnation),
      store(cluster, *node),
      core(*node, link, store, [&] {
        PoolerOptions options;
        options.vm.value = vm;
        options.incarnation = incarnation;
        options.seed = cluster.GetRandom()();
        options.address_of = [](const EndpointId& endpoint) {
          return endpoint.value;
        };
        if (std::getenv("MAGNOLIAREEL_SIM_TRACE") != nullptr) {
          options.events = MakeTracingEvents(cluster, vm);
        }
        options.confirm_lost = [this](const GroupId&, const EndpointId&,
                                      const std::function<void(bool)>& done) {
          node->Post([done] { done(true); });
        };
        return options;
      }()) {
  core.Apply(cluster.GetDeployment());
}

SimEntry::SimEntry(SimCluster& cluster, const std::string& vm)
    : node(std::make_shared<SimNode>(cluster.GetExecutor(), "entry-" + vm)),
      link(cluster, *node),
      state(*node),
      service(*node,
              link,
              state,
              cluster.GetSealer(),
              {cluster.GetDeployment()->FindVm({vm})->site,
               cluster.GetRandom()()}) {
  state.Apply(cluster.GetDeployment());
}

SimCluster::SimCluster(uint64_t seed, SimOptions options)
    : random_(seed),
      network_(executor_, random_),
      options_(options),
      sealer_({MakeKey()}),
      deployment_(MakeDeployment()) {
  for (const GroupConfig& group :
       deployment_->document.services.front().groups) {
    for (const EndpointConfig& it : group.endpoints) {
      endpoints_[it.endpoint] =
          std::make_unique<SimEndpoint>(*this, it.endpoint.value);
    }
  }
  for (const VmEntry& it : deployment_->vms) {
    StartPooler(it.vm);
    StartEntry(it.vm);
  }
}

std::vector<EndpointId> SimCluster::ListEndpoints() const {
  std::vector<EndpointId> names;
  for (const auto& [name, endpoint] : endpoints_) {
    names.push_back(name);
  }
  return names;
}

std::vector<VmId> SimCluster::ListVms() const {
  std::vector<VmId> names;
  for (const VmEntry& it : deployment_->vms) {
    names.push_back(it.vm);
  }
  return names;
}

void SimCluster::StartPooler(const VmId& vm) {
  auto& pooler = poolers_[vm];
  if (pooler) {
    dead_poolers_.push_back(std::move(pooler));
  }
  pooler = std::make_unique<SimPooler>(
      *this, vm.value, "start-" + std::to_string(++start_count_));
}

void SimCluster::StartEntry(const VmId& vm) {
  auto& entry = entries_[vm];
  if (entry) {
    dead_entries_.push_back(std::move(entry));
  }
  entry = std::make_unique<SimEntry>(*this, vm.value);
}

void SimCluster::KillEndpoint(const EndpointId& endpoint) {
  endpoints_.at(endpoint)->node->Kill();
}

void SimCluster::StartEndpoint(const EndpointId& endpoint) {
  auto& it = endpoints_.at(endpoint);
  auto fresh = std::make_unique<SimEndpoint>(*this, endpoint.value);
  fresh->model.Restore(it->model.GetDatabase());
  dead_endpoints_.push_back(std::move(it));
  it = std::move(fresh);
}

const standin::Database* SimCluster::FindPrimary(const GroupId& group) {
  const standin::Database* primary = nullptr;
  for (const EndpointConfig& it :
       deployment_->document.FindGroup(group)->endpoints) {
    const standin::Database& database =
        endpoints_.at(it.endpoint)->model.GetDatabase();
    const EndpointReport report = database.GetReport();
    const bool is_newer =
        primary == nullptr || primary->GetReport().term < report.term;
    if (report.role == EndpointRole::kPrimary && is_newer) {
      primary = &database;
    }
  }
  return primary;
}

}  // namespace magnoliareel::sim
