// Endpoints, platform and store, as the VMs reach them.

#include <utility>

#include "tests/interleavings/search_world.h"

namespace magnoliareel {
namespace {

constexpr Duration kLatency = std::chrono::milliseconds(2);
constexpr Duration kPlatformLatency = std::chrono::milliseconds(5);
constexpr Duration kOrderTime = std::chrono::milliseconds(300);
constexpr Duration kSlowOrderTime = std::chrono::milliseconds(1000);
constexpr Duration kLateOrderDelay = std::chrono::seconds(3);
constexpr Duration kLateCommandDelay = std::chrono::seconds(1);
constexpr Duration kLostAnswerTimeout = std::chrono::seconds(1);
constexpr Duration kReportDelay = std::chrono::milliseconds(20);

}  // namespace

void SearchWorld::SendCommand(size_t vm,
                              const EndpointId& endpoint,
                              const EndpointCommand& command,
                              Duration timeout,
                              EndpointCommandCompletion done) {
  const uint64_t tag = StateHash()
                           .Add(7)
                           .Add(vms_[vm]->GetHistory())
                           .Add(endpoint.value)
                           .Add(static_cast<uint64_t>(command.kind))
                           .Add(command.term.value)
                           .Get();
  const std::optional<size_t> member = group_.Find(endpoint);
  if (!member) {
    Schedule(now_ + kLatency, tag, {},
             [done] { done(Error::kUnreachable, {}); });
    return;
  }
  // A command that is repeated while an order waits for its effect is like the
  // first one to the search.
  const bool is_repeated =
      orders_in_transit_ > 0 &&
      !commands_behind_order_
           .insert(StateHash()
                       .Add(vm)
                       .Add(*member)
                       .Add(static_cast<uint64_t>(command.kind))
                       .Add(command.term.value)
                       .Get())
           .second;
  Schedule(
      now_ + kLatency, tag,
      {is_repeated ? PointKind::kNone : PointKind::kCommand, vm, *member},
      [this, sent = SentCommand{vm, *member, command, now_ + timeout, tag,
                                std::move(done)}] { HandleCommand(sent); });
}

void SearchWorld::HandleCommand(const SentCommand& sent) {
  if (cuts_.contains({sent.vm, sent.member}) ||
      hosts_down_.contains(sent.member)) {
    Schedule(sent.deadline, sent.tag, {},
             [done = sent.done] { done(Error::kUnreachable, {}); });
    return;
  }
  if (!group_.GetMembers()[sent.member].is_running ||
      refusals_.contains({sent.vm, sent.member})) {
    Schedule(now_ + kLatency, sent.tag, {},
             [done = sent.done] { done(Error::kEndpointStopped, {}); });
    return;
  }
  if (const auto it = overloaded_until_.find(sent.member);
      it != overloaded_until_.end() && now_ < it->second) {
    Schedule(now_ + kLatency, sent.tag, {},
             [done = sent.done] { done(Error::kOverloaded, {}); });
    return;
  }
  const bool is_late = std::exchange(is_command_delayed_, false);
  const bool is_lost = loses_answer_ == sent.member;
  if (is_lost) {
    loses_answer_.reset();
  }
  if (is_late || is_lost) {
    Schedule(sent.deadline, sent.tag, {},
             [done = sent.done] { done(Error::kAnswerLost, {}); });
  }
  if (is_late) {
    Schedule(now_ + kLateCommandDelay, sent.tag, {}, [this, sent] {
      if (group_.GetMembers()[sent.member].is_running) {
        ExecuteCommand(sent);
      }
    });
    return;
  }
  if (is_lost) {
    ExecuteCommand(sent);
    return;
  }
  AnswerCommand(sent);
}

ReplicationStatus SearchWorld::ExecuteCommand(const SentCommand& sent) {
  const bool was_primary = group_.GetMembers()[sent.member].is_primary;
  const ReplicationStatus status = group_.Execute(sent.member, sent.command);
  Note("vm-" + std::to_string(sent.vm) + ": " +
       std::string(GetEndpointCommandName(sent.command.kind)) + " at " +
       group_.GetMembers()[sent.member].id.value + ": " +
       (status.is_primary ? "primary" : "replica") + ", received " +
       FormatLogPoint(status.received) +
       (status.paused_at > Term{} ? ", paused" : ""));
  Replicate();
  if (was_primary && !status.is_primary) {
    PublishLater(kReportDelay);
  }
  return status;
}

void SearchWorld::AnswerCommand(const SentCommand& sent) {
  const ReplicationStatus status = ExecuteCommand(sent);
  Schedule(now_ + kLatency,
           StateHash()
               .Add(sent.tag)
               .Add(status.received.position.value)
               .Add(status.is_primary ? 1 : 0)
               .Get(),
           {}, [this, sent, status] {
             if (!cuts_.contains({sent.vm, sent.member})) {
               sent.done({}, status);
               return;
             }
             Schedule(sent.deadline, sent.tag, {},
                      [done = sent.done] { done(Error::kAnswerLost, {}); });
           });
}

void SearchWorld::OrderPromotion(size_t vm,
                                 const EndpointId& endpoint,
                                 uint64_t fencing_token,
                                 std::function<void(std::error_code)> done) {
  Note("vm-" + std::to_string(vm) + " orders the promotion of " +
       endpoint.value + " under token " + std::to_string(fencing_token));
  const uint64_t tag =
      StateHash().Add(8).Add(endpoint.value).Add(fencing_token).Get();
  ++orders_in_transit_;
  commands_behind_order_.clear();
  const size_t member = group_.Find(endpoint).value_or(0);
  Schedule(now_ + kPlatformLatency, tag, {PointKind::kOrder, vm, member},
           [this, vm, endpoint, fencing_token, done = std::move(done), tag] {
             if (!std::exchange(is_order_answer_lost_, false) &&
                 now_ >= order_answers_lost_until_) {
               HandleOrder(vm, endpoint, fencing_token, done);
               return;
             }
             Schedule(now_ + kLateOrderDelay, tag, {},
                      [this, vm, endpoint, fencing_token] {
                        HandleOrder(vm, endpoint, fencing_token, {});
                      });
             Schedule(now_ + kLostAnswerTimeout, tag, {},
                      [done] { done(Error::kAnswerLost); });
           });
}

void SearchWorld::HandleOrder(
    size_t vm,
    const EndpointId& endpoint,
    uint64_t fencing_token,
    const std::function<void(std::error_code)>& done) {
  const std::optional<size_t> member = group_.Find(endpoint);
  const bool is_accepted = member && group_.GetMembers()[*member].is_running &&
                           fencing_token >= highest_fencing_token_;
  if (is_accepted) {
    highest_fencing_token_ = fencing_token;
    if (are_ordered_deaf_) {
      group_.Edit(*member).is_deaf = true;
    }
    const bool is_slow =
        std::exchange(is_order_slow_, false) || are_orders_slow_;
    Schedule(now_ + (is_slow ? kSlowOrderTime : kOrderTime),
             StateHash().Add(9).Add(endpoint.value).Get(),
             {PointKind::kOrderEffect, vm, *member},
             [this, endpoint] { ApplyOrder(endpoint); });
  } else {
    --orders_in_transit_;
    Note("the order for " + endpoint.value + " is refused");
  }
  if (done) {
    Schedule(now_ + kPlatformLatency,
             StateHash().Add(10).Add(is_accepted ? 1 : 0).Get(), {},
             [done, is_accepted] {
               done(is_accepted ? std::error_code()
                                : std::error_code(Error::kSuperseded));
             });
  }
}

void SearchWorld::ApplyOrder(const EndpointId& endpoint) {
  --orders_in_transit_;
  const std::optional<size_t> member = group_.Find(endpoint);
  if (!member) {
    return;
  }
  const std::optional<size_t> lost = group_.Promote(*member);
  if (!lost) {
    return;
  }
  if (are_ordered_deaf_) {
    group_.Edit(*member).is_deaf = false;
  }
  Note("the promotion of " + endpoint.value + " takes effect" +
       (*lost > 0 ? "; LOST " + std::to_string(*lost) : ""));
  if (*lost > 0) {
    outcome_ = RunOutcome::kLost;
  }
  Replicate();
  PublishLater(kReportDelay);
}

void SearchWorld::ReadRow(size_t vm, std::function<void(StoredRow)> done) {
  Schedule(now_ + kPlatformLatency, StateHash().Add(11).Add(vm).Get(), {},
           [this, done = std::move(done)] { done(row_); });
}

void SearchWorld::WriteRow(
    size_t vm,
    std::string value,
    uint64_t version,
    std::function<void(std::error_code, uint64_t)> done) {
  Schedule(
      now_ + kPlatformLatency, StateHash().Add(12).Add(vm).Get(),
      {PointKind::kRowWrite, vm, 0},
      [this, vm, value = std::move(value), version, done = std::move(done)] {
        if (version != row_.version) {
          done(Error::kVersionConflict, 0);
          return;
        }
        row_.value = value;
        row_.version = ++store_version_;
        Note("vm-" + std::to_string(vm) + " writes the duty's row, token " +
             std::to_string(row_.version));
        if (!std::exchange(is_store_answer_lost_, false)) {
          done({}, row_.version);
          return;
        }
        Schedule(now_ + kLostAnswerTimeout, StateHash().Add(13).Get(), {},
                 [done] { done(Error::kAnswerLost, 0); });
      });
}

}  // namespace magnoliareel
