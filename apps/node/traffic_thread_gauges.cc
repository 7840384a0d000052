// Metrics of the traffic thread.

#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include "apps/node/traffic_thread.h"

namespace magnoliareel {

void TrafficThread::CollectGauges(std::function<void(GaugeSnapshot)> done) {
  mailbox_.Post([this, done = std::move(done)] {
    GaugeSnapshot gauges("magnoliareel");
    const auto add = [&](std::string_view name, std::string_view help,
                         const auto& get) {
      for (const auto& [id, pool] : core_.GetPools()) {
        gauges.Add(
            name, help,
            {{"endpoint", id.value}, {"service", pool.entry.service.value}},
            get(pool));
      }
    };
    add("endpoint_connections", "Connections of this VM to the endpoint.",
        [](const EndpointPool& it) { return it.connections.size(); });
    add("endpoint_running", "Statements of this VM that run there.",
        [](const EndpointPool& it) { return it.running; });
    add("endpoint_queued", "Statements that wait here for the endpoint.",
        [](const EndpointPool& it) { return it.queue.size(); });
    add("endpoint_limit", "Statements that this VM lets run there at a time.",
        [](const EndpointPool& it) { return it.GetConcurrencyLimit(); });
    add("endpoint_failures", "Failures since the endpoint's last answer.",
        [](const EndpointPool& it) { return it.failures; });
    add("endpoint_ejected", "1 while only probes are sent to the endpoint.",
        [](const EndpointPool& it) {
          return it.record.ejection.IsEjected() ? 1 : 0;
        });
    add("endpoint_latency_seconds", "Expected time of one more statement.",
        [](const EndpointPool& it) {
          return std::chrono::duration<double>(it.EstimateLatency()).count();
        });
    const TrafficCounters& counters = core_.GetCounters();
    gauges.Add("sessions", "Callers' sessions.", {},
               static_cast<double>(core_.CountSessions()));
    gauges.Add("statements_retried", "Statements sent again, since the start.",
               {}, static_cast<double>(counters.retried));
    gauges.Add("statements_hedged", "Slow reads sent twice, since the start.",
               {}, static_cast<double>(counters.hedged));
    gauges.Add("connections_opened", "Connections opened, since the start.", {},
               static_cast<double>(counters.connections_opened));
    gauges.Add("statements_forwarded",
               "Statements sent to other VMs that hold the connections.", {},
               static_cast<double>(counters.forwarded));
    gauges.Add("statements_run_for_peers",
               "Statements run for other VMs, since the start.", {},
               static_cast<double>(counters.run_for_peers));
    gauges.Add("holder_failures",
               "Failures of VMs to which statements are forwarded.", {},
               static_cast<double>(counters.holder_failures));
    gauges.Add("connections_refused",
               "Connections over an endpoint's limit, since the start.", {},
               static_cast<double>(counters.connections_refused));
    gauges.Add("statements_refused_busy",
               "Statements that full endpoints refused, since the start.", {},
               static_cast<double>(counters.refused_busy));
    gauges.Add(
        "commit_losses",
        "Changes of a primary after which an answered commit was missing.", {},
        static_cast<double>(counters.commit_losses));
    gauges.Add("commits_held",
               "Statements that waited or were not run because their primary "
               "was being replaced.",
               {}, static_cast<double>(counters.commits_held));
    gauges.Add("prepares_refused",
               "PREPAREs that endpoints refused, since the start.", {},
               static_cast<double>(counters.prepares_refused));
    gauges.Add("prepares_deallocated",
               "Least recently used names that were given up, since the start.",
               {}, static_cast<double>(counters.prepares_deallocated));
    gauges.Add("session_values_refused",
               "Changes of session values that endpoints refused, since the "
               "start.",
               {}, static_cast<double>(counters.values_refused));
    gauges.Add("unknown_names",
               "Executions whose name the endpoint did not know, since the "
               "start.",
               {}, static_cast<double>(counters.unknown_names));
    gauges.Add("callers_unauthorized",
               "Sessions refused or ended because no team has their key.", {},
               static_cast<double>(counters.callers_unauthorized));
    gauges.Add("connections_evicted",
               "Idle connections closed for another team, since the start.", {},
               static_cast<double>(counters.connections_evicted));
    const AllowanceCounters& allowances = core_.GetAllowanceCounters();
    gauges.Add("statements_without_permit",
               "Statements refused because there was no permit for their team.",
               {}, static_cast<double>(counters.refused_without_permit));
    gauges.Add("slots", "Slots from which this VM issues permits.", {},
               static_cast<double>(core_.CountOwnSlots()));
    gauges.Add("permits_granted", "Operations on permits of this VM's slots.",
               {}, static_cast<double>(allowances.granted));
    gauges.Add("permits_borrowed", "Operations on permits of other VMs.", {},
               static_cast<double>(allowances.borrowed));
    gauges.Add("permits_lent", "Permits given to other VMs.", {},
               static_cast<double>(allowances.lent));
    for (const auto& [reason, count] :
         {std::pair("empty", allowances.refused_empty),
          std::pair("unreachable", allowances.refused_unreachable),
          std::pair("waiting", allowances.refused_waiting),
          std::pair("queued", allowances.refused_queued)}) {
      gauges.Add("permits_refused", "Operations refused without a permit.",
                 {{"reason", reason}}, static_cast<double>(count));
    }
    constexpr std::array<const char*, kPlacementLevelCount> kLevels = {
        "site", "region", "remote"};
    for (size_t it = 0; it < kLevels.size(); ++it) {
      gauges.Add("reads_placed",
                 "Reads for which an endpoint was chosen by measured cost, "
                 "since the start.",
                 {{"level", kLevels[it]}},
                 static_cast<double>(counters.reads_placed[it]));
    }
    // The last level has no other to leave for.
    for (size_t it = 0; it + 1 < kLevels.size(); ++it) {
      for (const auto& [id, service] : core_.GetServices()) {
        gauges.Add("reads_leaving_share",
                   "Largest share of a route's reads that leaves the level.",
                   {{"service", id.value}, {"level", kLevels[it]}},
                   service.read_placement.GetSpilloverShare(
                       static_cast<PlacementLevel>(it)));
      }
    }
    const PreparedTotals prepared = core_.CountPrepared();
    gauges.Add("prepared_names",
               "Names of prepared statements on connections of this VM.", {},
               static_cast<double>(prepared.names));
    gauges.Add("prepared_bytes",
               "Length of the shapes prepared on connections of this VM.", {},
               static_cast<double>(prepared.shape_bytes));
    CollectLimitGauges(gauges);
    done(std::move(gauges));
  });
}

void TrafficThread::CollectLimitGauges(GaugeSnapshot& gauges) const {
  const LimitCounters& limits = limit_counters_;
  const auto add = [&](std::string_view name, std::string_view help,
                       uint64_t value) {
    gauges.Add(name, help, {}, static_cast<double>(value));
  };
  add("long_lines", "Places for long lines in use.", line_budget_.CountTaken());
  add("long_lines_waiting", "Connections that wait for such a place.",
      line_budget_.CountWaiting());
  add("held_text_bytes", "Values and prepared statements of all sessions.",
      core_.GetHeldText().GetTotal());
  add("statement_text_bytes", "Texts of long statements in progress.",
      core_.GetStatementText().GetTotal());
  add("unsent_bytes", "Answers that callers have not read.", unsent_bytes_);
  add("held_text_refused",
      "Values and prepared statements refused for lack of memory.",
      core_.GetHeldText().CountRefused());
  add("statement_text_refused", "Statements refused for lack of memory.",
      core_.GetStatementText().CountRefused());
  add("lines_stalled",
      "Connections closed because their line did not progress.",
      limits.lines_stalled);
  add("lines_refused", "Connections closed because too many lines waited.",
      limits.lines_refused);
  add("answers_unread", "Connections closed because of unread answers.",
      limits.answers_unread);
  add("mute_closed", "Connections without a message closed for a new one.",
      limits.mute_closed);
  add("callers_refused", "Connections beyond the limit, since the start.",
      limits.callers_refused);
}

}  // namespace magnoliareel
