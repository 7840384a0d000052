/** @file
    @brief Measures the time and memory of decisions at several sizes, in one
    process: ownership, choosing endpoints for reads, lookups, acknowledgements
    and the scheduler. Prints one line for each measurement.
*/
#include <malloc.h>

#include <cstdio>
#include <string>
#include <vector>

#include "core/core.h"
#include "failover/failover.h"
#include "membership/membership.h"
#include "pool/pool.h"
#include "routing/routing.h"

namespace magnoliareel {
namespace {

int64_t GetAllocatedBytes() {
  return static_cast<int64_t>(mallinfo2().uordblks);
}

Document MakeDocument(int groups, int sites) {
  Document document;
  ServiceConfig service;
  service.service.value = "service";
  for (int g = 0; g < groups; ++g) {
    GroupConfig group;
    group.group.value = "group-" + std::to_string(g);
    for (int e = 0; e < 3; ++e) {
      group.endpoints.push_back({{group.group.value + "-" + std::to_string(e)},
                                 {"site-" + std::to_string((g + e) % sites)},
                                 5,
                                 32});
    }
    service.groups.push_back(std::move(group));
  }
  document.services.push_back(std::move(service));
  return document;
}

std::vector<VmEntry> MakeVms(int count, int sites) {
  std::vector<VmEntry> vms;
  for (int n = 0; n < count; ++n) {
    vms.push_back({{"vm-" + std::to_string(n)},
                   {"site-" + std::to_string(n % sites)},
                   "10.0.0.1:7400",
                   "10.0.0.1:7300",
                   false});
  }
  return vms;
}

/** @returns the mean time of an operation in microseconds */
template <class F>
double MeasureMicros(int rounds, F operation) {
  const SteadyClock clock;
  const TimePoint began = clock.Now();
  for (int n = 0; n < rounds; ++n) {
    operation(n);
  }
  return static_cast<double>((clock.Now() - began).count()) / rounds;
}

void MeasureOwnership(int nodes, int endpoints) {
  constexpr int kSites = 10;
  const Document document = MakeDocument(endpoints / 3, kSites);
  const std::vector<VmEntry> vms = MakeVms(nodes, kSites);
  const int64_t before = GetAllocatedBytes();
  const SteadyClock clock;
  const TimePoint began = clock.Now();
  const Ownership ownership(document, vms);
  const int64_t micros = (clock.Now() - began).count();
  const int64_t bytes = GetAllocatedBytes() - before;
  const double lookup = MeasureMicros(100000, [&](int n) {
    const auto& group =
        document.services[0].groups[static_cast<size_t>(n) %
                                    document.services[0].groups.size()];
    if (ownership.GetOwners(group.endpoints[0].endpoint).empty()) {
      std::abort();
    }
  });
  std::printf(
      "ownership: %4d nodes, %4d endpoints: built in %7.1f ms, %7.1f KiB, "
      "lookup %.2f us\n",
      nodes, endpoints, static_cast<double>(micros) / 1000,
      static_cast<double>(bytes) / 1024, lookup);
}

void MeasureRouting(int endpoints) {
  const Document document = MakeDocument(endpoints / 3, 10);
  const ServiceConfig& service = document.services[0];
  RouteHints hints;
  const int64_t before = GetAllocatedBytes();
  for (const GroupConfig& it : service.groups) {
    hints.RecordPrimary(it.group, {it.endpoints[0].endpoint, {1}});
    hints.RecordHolders(std::vector<EndpointId>{it.endpoints[1].endpoint},
                        {{1}, {5}});
  }
  const int64_t bytes = GetAllocatedBytes() - before;
  ProcessRandom random(1);
  const double micros = MeasureMicros(200000, [&](int n) {
    const GroupConfig& group =
        ChooseGroup(service, "record-" + std::to_string(n));
    const ReadRequirements requirements{
        {{1}, {4}}, std::nullopt, {"site-1"}, group.endpoints[0].endpoint, {}};
    if (ReplicasFirst().Rank(group, hints, requirements, random).size() != 3) {
      std::abort();
    }
  });
  std::printf("routing: %4d endpoints: %.2f us a read, hints %.1f KiB\n",
              endpoints, micros, static_cast<double>(bytes) / 1024);
}

void MeasureLookups(int nodes, int groups) {
  Deployment deployment;
  deployment.document = MakeDocument(groups, 10);
  deployment.vms = MakeVms(nodes, 10);
  deployment.ownership = Ownership(deployment.document, deployment.vms);
  constexpr int kRounds = 20000;
  const double group = MeasureMicros(kRounds, [&](int n) {
    if (deployment.document.FindGroup(
            {"group-" + std::to_string(n % groups)}) == nullptr) {
      std::abort();
    }
  });
  const double vm = MeasureMicros(kRounds, [&](int n) {
    if (deployment.FindVm({"vm-" + std::to_string(n % nodes)}) == nullptr) {
      std::abort();
    }
  });
  std::printf("lookups: %4d nodes, %4d groups: group %.2f us, VM %.2f us\n",
              nodes, groups, group, vm);
}

void MeasureScheduler(int waiting) {
  SlotScheduler<FairQueue> scheduler(5);
  const TimePoint now{};
  const int64_t before = GetAllocatedBytes();
  for (int n = 0; n < waiting; ++n) {
    (void)scheduler.Admit({static_cast<uint64_t>(n + 1),
                           {"caller-" + std::to_string(n % 8)},
                           WorkClass::kShort,
                           false,
                           now,
                           now + std::chrono::hours(1)},
                          now);
  }
  const int64_t bytes = GetAllocatedBytes() - before;
  const double micros = MeasureMicros(waiting, [&](int) {
    const auto work = scheduler.StartNext(true);
    scheduler.Finish(work->id, Duration(10), now);
  });
  std::printf("scheduler: %5d waiting: %.2f us a statement, %.0f bytes each\n",
              waiting, micros, static_cast<double>(bytes) / waiting);
}

void MeasureAcknowledgements(int waiting) {
  const std::vector<EndpointId> endpoints = {{"a"}, {"b"}, {"c"}};
  GroupState state(endpoints);
  AckTracker acks;
  const TimePoint now{};
  int acknowledged = 0;
  for (int n = 1; n <= waiting; ++n) {
    acks.Add({{1}, {static_cast<uint64_t>(n)}}, {1}, now,
             now + std::chrono::hours(1),
             [&acknowledged](bool) { ++acknowledged; });
  }
  const double micros = MeasureMicros(1, [&](int) {
    for (const EndpointId& it : endpoints) {
      const EndpointRole role =
          it.value == "a" ? EndpointRole::kPrimary : EndpointRole::kReplica;
      const LogPoint last{{1}, {static_cast<uint64_t>(waiting)}};
      state.RecordReport(it, {role, {1}, last, {{{1}, {0}}}, false}, now, now);
      acks.Update(state);
    }
  });
  std::printf("acknowledgement: %5d waiting: %.2f us a write\n", acknowledged,
              micros / std::max(1, waiting));
}

}  // namespace
}  // namespace magnoliareel

int main() {
  using namespace magnoliareel;
  for (const int nodes : {8, 80, 400, 1500}) {
    for (const int endpoints : {9, 300, 3000}) {
      MeasureOwnership(nodes, endpoints);
    }
  }
  for (const int endpoints : {9, 300, 3000}) {
    MeasureRouting(endpoints);
  }
  MeasureLookups(8, 3);
  MeasureLookups(80, 100);
  MeasureLookups(1500, 1000);
  for (const int waiting : {100, 1000, 9000}) {
    MeasureScheduler(waiting);
    MeasureAcknowledgements(waiting);
  }
  return 0;
}
