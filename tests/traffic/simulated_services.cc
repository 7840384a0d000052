#include <utility>

#include "tests/traffic/traffic_simulation.h"

namespace magnoliareel {

bool SimulatedServices::DrawStoreFault() {
  return store_fault_rate_ > 0 && std::uniform_real_distribution<>(0, 1)(
                                      simulation_.random_) < store_fault_rate_;
}

StoredRows SimulatedServices::Read(const RowId& id, bool is_outdated) const {
  StoredRows answer;
  answer.version = version_;
  if (const auto it = rows_.find(id); it != rows_.end()) {
    const std::vector<StoredRow>& states = it->second;
    answer.rows.push_back(is_outdated && states.size() > 1
                              ? states[states.size() - 2]
                              : states.back());
  }
  return answer;
}

std::optional<uint64_t> SimulatedServices::Write(const RowId& id,
                                                 std::string_view value,
                                                 uint64_t version) {
  std::vector<StoredRow>& states = rows_[id];
  if (version != (states.empty() ? 0 : states.back().version)) {
    return std::nullopt;
  }
  states.push_back({id.second, std::string(value), ++version_, false});
  return version_;
}

void SimulatedServices::Get(std::string_view table,
                            std::string_view key,
                            RowsCompletion done) {
  simulation_.After(
      Duration(4000),
      [answer = Read({std::string(table), std::string(key)}, DrawStoreFault()),
       done = std::move(done)] { done({}, answer); });
}

void SimulatedServices::WriteIf(std::string_view table,
                                std::string_view key,
                                std::string_view value,
                                uint64_t version,
                                RowsCompletion done) {
  const auto write = [this, id = RowId(table, key), value = std::string(value),
                      version] { return Write(id, value, version); };
  if (DrawStoreFault()) {
    simulation_.After(std::chrono::milliseconds(400),
                      [done] { done(Error::kAnswerLost, {}); });
    simulation_.After(
        std::chrono::milliseconds(1000 + simulation_.random_() % 5000),
        [write] { write(); });
    return;
  }
  simulation_.After(Duration(4000), [write, done = std::move(done)] {
    StoredRows answer;
    const std::optional<uint64_t> new_version = write();
    answer.version = new_version.value_or(0);
    done(new_version ? std::error_code{}
                     : make_error_code(Error::kVersionConflict),
         answer);
  });
}

void SimulatedServices::Send(const EndpointEntry& endpoint,
                             const EndpointCommand& command,
                             Duration timeout,
                             EndpointCommandCompletion done) {
  TrafficSimulation& simulation = simulation_;
  const uint64_t id = kFirstCommandConnection + simulation.next_link_++;
  const size_t member = endpoint.address.port - kFirstMemberPort;
  if (!simulation.group_.IsRunning(member)) {
    simulation.After(Duration(2000), [done = std::move(done)] {
      done(Error::kEndpointStopped, {});
    });
    return;
  }
  simulation.pending_commands_[id] = {{}, std::move(done), false};
  std::string bytes;
  platform::LineDialect::AppendOpen(bytes, endpoint.service.value, "driver",
                                    endpoint.id.value);
  switch (command.kind) {
    case EndpointCommandKind::kReport:
      platform::LineDialect::AppendStatus(bytes);
      break;
    case EndpointCommandKind::kPause:
      platform::LineDialect::AppendPause(bytes, command.term);
      break;
    case EndpointCommandKind::kResume:
      platform::LineDialect::AppendResume(bytes);
      break;
    case EndpointCommandKind::kDemote:
      platform::LineDialect::AppendDemote(bytes, command.term);
      break;
  }
  simulation.queue_.After(Duration(2000), [&simulation, id, member, bytes] {
    simulation.group_.SetNow(simulation.queue_.Now());
    simulation.group_.Open(member, id);
    simulation.group_.Receive(id, bytes);
  });
  simulation.queue_.After(timeout, [&simulation, id] {
    simulation.group_.Close(id);
    const auto it = simulation.pending_commands_.find(id);
    if (it != simulation.pending_commands_.end()) {
      const EndpointCommandCompletion completed = std::move(it->second.done);
      simulation.pending_commands_.erase(it);
      completed(Error::kAnswerLost, {});
    }
  });
}

void SimulatedServices::Promote(const ServiceId&,
                                const EndpointId& endpoint,
                                uint64_t fencing_token,
                                std::function<void(std::error_code)> done) {
  TrafficSimulation& simulation = simulation_;
  simulation.promotion_observer_();
  const auto promote = [&simulation, endpoint, fencing_token] {
    simulation.group_.SetNow(simulation.Now());
    return simulation.group_.Promote(endpoint.value, fencing_token);
  };
  if (std::uniform_real_distribution<>(0, 1)(simulation.random_) <
      simulation.promotion_loss_) {
    simulation.After(std::chrono::milliseconds(400),
                     [done] { done(Error::kAnswerLost); });
    simulation.After(
        std::chrono::milliseconds(1000 + simulation.random_() % 3000),
        [promote] { promote(); });
    return;
  }
  simulation.After(Duration(3000), [promote, done = std::move(done)] {
    done(promote() == 200 ? std::error_code{}
                          : make_error_code(Error::kSuperseded));
  });
}

}  // namespace magnoliareel
