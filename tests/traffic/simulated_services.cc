#include <utility>

#include "tests/traffic/traffic_simulation.h"

namespace magnoliareel {

void SimulatedServices::Get(std::string_view,
                            std::string_view key,
                            RowsCompletion done) {
  StoredRows rows;
  if (row_version_ > 0) {
    rows.rows.push_back({std::string(key), "holder", row_version_, false});
  }
  world_.After(Duration(4000),
               [rows, done = std::move(done)] { done({}, rows); });
}

void SimulatedServices::WriteIf(std::string_view,
                                std::string_view,
                                std::string_view,
                                uint64_t version,
                                RowsCompletion done) {
  world_.After(Duration(4000), [this, version, done = std::move(done)] {
    if (version != row_version_) {
      done(Error::kVersionConflict, {});
      return;
    }
    StoredRows rows;
    rows.version = ++row_version_;
    done({}, rows);
  });
}

void SimulatedServices::Send(const EndpointEntry& endpoint,
                             const EndpointCommand& order,
                             Duration timeout,
                             EndpointCommandCompletion done) {
  TrafficSimulation& world = world_;
  const uint64_t id = kFirstCommandConnection + world.next_link_++;
  const size_t member = endpoint.address.port - kFirstMemberPort;
  world.orders_[id] = {{}, std::move(done), false};
  std::string bytes;
  platform::LineDialect::AppendOpen(bytes, endpoint.service.value, "driver",
                                    endpoint.id.value);
  switch (order.kind) {
    case EndpointCommandKind::kReport:
      platform::LineDialect::AppendStatus(bytes);
      break;
    case EndpointCommandKind::kPause:
      platform::LineDialect::AppendPause(bytes, order.term);
      break;
    case EndpointCommandKind::kResume:
      platform::LineDialect::AppendResume(bytes);
      break;
  }
  world.queue_.After(Duration(2000), [&world, id, member, bytes] {
    world.group_.SetNow(world.queue_.Now());
    world.group_.Open(member, id);
    world.group_.Receive(id, bytes);
  });
  world.queue_.After(timeout, [&world, id] {
    world.group_.Close(id);
    const auto it = world.orders_.find(id);
    if (it != world.orders_.end()) {
      const EndpointCommandCompletion ended = std::move(it->second.done);
      world.orders_.erase(it);
      ended(Error::kAnswerLost, {});
    }
  });
}

void SimulatedServices::Promote(const ServiceId&,
                                const EndpointId& endpoint,
                                uint64_t fencing_token,
                                std::function<void(std::error_code)> done) {
  TrafficSimulation& world = world_;
  const auto carry_out = [&world, endpoint, fencing_token] {
    world.group_.SetNow(world.Now());
    return world.group_.Promote(endpoint.value, fencing_token);
  };
  if (std::uniform_real_distribution<>(0, 1)(world.random_) <
      world.promotion_loss_) {
    world.After(std::chrono::milliseconds(400),
                [done] { done(Error::kAnswerLost); });
    world.After(std::chrono::milliseconds(1000 + world.random_() % 3000),
                [carry_out] { carry_out(); });
    return;
  }
  world.After(Duration(3000), [carry_out, done = std::move(done)] {
    done(carry_out() == 200 ? std::error_code{}
                            : make_error_code(Error::kSuperseded));
  });
}

}  // namespace magnoliareel
