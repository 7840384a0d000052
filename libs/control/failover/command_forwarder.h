#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_COMMAND_FORWARDER_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_COMMAND_FORWARDER_H_

#include <algorithm>
#include <cassert>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control/failover/endpoint_commands.h"
#include "control/failover/forwarded_command.h"
#include "control/peers/peer_group.h"
#include "core/core.h"
#include "directory/directory.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Time that an endpoint which is not suspected has to answer directly before
    its command is forwarded. It covers a status query between regions on an
    open connection. */
inline constexpr Duration kForwardingDelay = std::chrono::milliseconds(60);
/** Interval at which VMs that have not responded are sent the command again,
    because datagrams may be lost. */
inline constexpr Duration kForwardedCommandRetryInterval =
    std::chrono::milliseconds(100);
/** Time that another VM's response takes. A VM gives up so much earlier that
    its response arrives before the deadline. */
inline constexpr Duration kForwardedResponseTime =
    std::chrono::milliseconds(60);
/** Maximum number of VMs that a command is forwarded to. Each may open a
    connection to the endpoint. */
inline constexpr size_t kMaxForwardingVms = 8;

/** Sends commands to endpoints that this VM may not reach while others do: a
    command that is not answered directly is also sent by other VMs. The first
    answer of the endpoint counts.

    Only commands that can be repeated are accepted, since several VMs send the
    same one: reports, and demotions, which a newer term makes void.

    @see EndpointCommandSender
    @tparam C  sends commands from this VM, @see EndpointCommandSender
    @tparam T  provides Now() and After(), and is a ForwardedCommandChannel
*/
template <EndpointCommandSender C, class T>
class CommandForwarder {
 public:
  /** Returns whether this VM has found that it does not reach an endpoint. */
  using SuspicionQuery = std::function<bool(const EndpointId&)>;

  /** @param commands      must outlive the forwarder
      @param delegate      must outlive the forwarder
      @param peers         the other VMs; must outlive the forwarder
      @param self          this VM
      @param is_suspected  endpoints for which it returns true are sent commands
                           by other VMs without a delay
  */
  CommandForwarder(C& commands,
                   T& delegate,
                   const PeerGroup& peers,
                   VmId self,
                   SuspicionQuery is_suspected)
      : commands_(commands),
        delegate_(delegate),
        peers_(peers),
        self_(std::move(self)),
        is_suspected_(std::move(is_suspected)),
        // Differs from the numbers of an earlier process at the same address,
        // whose responses may still arrive.
        next_id_(
            static_cast<uint64_t>(delegate.Now().time_since_epoch().count())) {}

  /** Sends a report or a demotion.

      @param endpoint  the endpoint
      @param command   the command
      @param timeout   longest time until `done` is called
      @param done      receives the endpoint's first answer;
                       Error::kEndpointStopped if a third of the VMs have found
                       that it does not run, and none that it does;
                       Error::kOverloaded if it had no free slot;
                       Error::kUnreachable if no VM has sent the command;
                       Error::kAnswerLost if the endpoint may still execute it
  */
  void Send(const EndpointEntry& endpoint,
            const EndpointCommand& command,
            Duration timeout,
            EndpointCommandCompletion done) {
    assert(command.kind == EndpointCommandKind::kReport ||
           command.kind == EndpointCommandKind::kDemote);
    const uint64_t id = next_id_++;
    Call& call = calls_[id];
    call.endpoint = endpoint.id;
    call.command = command;
    call.began_at = delegate_.Now();
    call.deadline = call.began_at + timeout;
    call.done = std::move(done);
    commands_.Send(endpoint, command, timeout,
                   [this, id](std::error_code ec, const auto& status) {
                     HandleDirectResult(id, ec, status);
                   });
    if (!calls_.contains(id)) {
      return;
    }
    delegate_.After(timeout, [this, id] { HandleDeadline(id); });
    if (is_suspected_(endpoint.id)) {
      Forward(id);
    } else {
      delegate_.After(kForwardingDelay, [this, id] { Forward(id); });
    }
  }

  /** Sends a command on behalf of another VM, and answers it.

      @param request   the other VM's request
      @param endpoint  the endpoint's entry here; null if it is not listed, in
                       which case nothing is sent
  */
  void HandleForwardedCommand(const ForwardedCommand& request,
                              const EndpointEntry* endpoint) {
    if (endpoint == nullptr) {
      Answer(request, ForwardedCommandResult::kNotSent, {});
      return;
    }
    if (!running_.emplace(request.reply_to, request.id).second) {
      // A repeated datagram; the response to the first one answers it.
      return;
    }
    commands_.Send(
        *endpoint, request.command,
        std::min(request.timeout, kLateDemotionTimeout),
        [this, request](std::error_code ec, const ReplicationStatus& status) {
          Answer(request, GetForwardedResult(ec), status);
        });
  }

  /** Handles another VM's response; ignored if its command has ended. */
  void HandleResponse(const ForwardedCommandResponse& response) {
    const auto it = calls_.find(response.id);
    if (it == calls_.end()) {
      return;
    }
    Call& call = it->second;
    if (std::erase_if(call.waiting, [&](const Forwarded& forwarded) {
          return forwarded.vm == response.vm;
        }) == 0) {
      return;
    }
    LogEvent(
        Event::kCommandForwarded,
        {{"endpoint", call.endpoint.value},
         {"step", std::string(GetEndpointCommandName(call.command.kind))},
         {"via", response.vm.value},
         {"result", std::string(GetForwardedResultName(response.result))}});
    ++call.result_counts[response.result];
    switch (response.result) {
      case ForwardedCommandResult::kAnswered:
        Finish(response.id, {}, response.status);
        return;
      case ForwardedCommandResult::kBusy:
        call.is_busy = true;
        break;
      case ForwardedCommandResult::kAnswerLost:
        call.may_be_executed = true;
        call.is_running = true;
        break;
      case ForwardedCommandResult::kStopped:
        ++call.stopped_count;
        break;
      case ForwardedCommandResult::kNotSent:
        break;
    }
    FinishIfUnanswered(response.id);
  }

 private:
  /** A VM that has not responded. */
  struct Forwarded {
    VmId vm;
    SocketAddress address;
  };
  struct Call {
    EndpointId endpoint;
    EndpointCommand command;
    TimePoint deadline;
    EndpointCommandCompletion done;
    bool is_forwarded = false;
    /** Result of this VM's own attempt; none before it has ended. */
    std::optional<std::error_code> direct_result;
    bool may_be_executed = false;
    /** The endpoint had no free slot for another VM's command. */
    bool is_busy = false;
    /** A connection was opened, and the endpoint did not answer. */
    bool is_running = false;
    /** Number of VMs that have found that the endpoint does not run. */
    size_t stopped_count = 0;
    std::vector<Forwarded> waiting;
    TimePoint began_at;
    /** Number of VMs that the command was forwarded to. */
    size_t forwarded_count = 0;
    std::map<ForwardedCommandResult, int> result_counts;
  };

  void HandleDirectResult(uint64_t id,
                          std::error_code ec,
                          const ReplicationStatus& status) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) {
      return;
    }
    it->second.direct_result = ec;
    if (!ec || ec == Error::kOverloaded) {
      Finish(id, ec, status);
      return;
    }
    it->second.may_be_executed |= ec == Error::kAnswerLost;
    it->second.is_running |= ec == Error::kAnswerLost;
    it->second.stopped_count += ec == Error::kEndpointStopped ? 1 : 0;
    Forward(id);
    FinishIfUnanswered(id);
  }

  /** Sends the command to other VMs, unless that was done before or the command
      has ended. */
  void Forward(uint64_t id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || std::exchange(it->second.is_forwarded, true)) {
      return;
    }
    it->second.waiting = ChooseVms(it->second.endpoint);
    it->second.forwarded_count = it->second.waiting.size();
    SendToWaiting(id);
  }

  void SendToWaiting(uint64_t id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.waiting.empty()) {
      return;
    }
    const Call& call = it->second;
    const Duration remaining =
        call.deadline - delegate_.Now() - kForwardedResponseTime;
    if (remaining <= Duration(0)) {
      return;
    }
    for (const Forwarded& forwarded : call.waiting) {
      delegate_.ForwardCommand(forwarded.address,
                               {id, peers_.GetSelfAddress(), call.endpoint,
                                call.command, remaining});
    }
    delegate_.After(kForwardedCommandRetryInterval,
                    [this, id] { SendToWaiting(id); });
  }

  /** @returns the VMs that are most likely to reach the endpoint: those that
              observe its commits, then those that do not suspect it */
  std::vector<Forwarded> ChooseVms(const EndpointId& endpoint) const {
    std::vector<const PeerGroup::Peer*> live = peers_.ListLive();
    const auto get_rank = [&endpoint](const PeerGroup::Peer* peer) {
      for (const ConditionReport& it : peer->last.suspicions) {
        if (it.endpoint == endpoint) {
          return it.condition == EndpointCondition::kCommitsStalled ? 0 : 2;
        }
      }
      return 1;
    };
    std::stable_sort(live.begin(), live.end(),
                     [&](const auto* left, const auto* right) {
                       return get_rank(left) < get_rank(right);
                     });
    live.resize(std::min(live.size(), kMaxForwardingVms));
    std::vector<Forwarded> chosen;
    chosen.reserve(live.size());
    for (const PeerGroup::Peer* it : live) {
      chosen.push_back({it->last.vm, it->last.address});
    }
    return chosen;
  }

  void FinishIfUnanswered(uint64_t id) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second.direct_result &&
        it->second.waiting.empty()) {
      Finish(id, GetError(it->second), {});
    }
  }

  void HandleDeadline(uint64_t id) {
    if (const auto it = calls_.find(id); it != calls_.end()) {
      // A VM that has not responded may still send the command.
      it->second.may_be_executed = true;
      Finish(id, GetError(it->second), {});
    }
  }

  /** @returns why a command was not answered. A report that found no free slot
               shows that the endpoint is alive. */
  Error GetError(const Call& call) const {
    if (IsStopped(call)) {
      return Error::kEndpointStopped;
    }
    const bool is_report = call.command.kind == EndpointCommandKind::kReport;
    if (call.may_be_executed && !(is_report && call.is_busy)) {
      return Error::kAnswerLost;
    }
    return call.is_busy ? Error::kOverloaded : Error::kUnreachable;
  }

  /** @returns whether a third of the VMs that are asked have found that the
               endpoint does not run, and no VM has found that it does. What one
               path refuses shows nothing of the others. */
  bool IsStopped(const Call& call) const {
    const size_t vms =
        std::min<size_t>(peers_.CountLive(), kMaxForwardingVms + 1);
    const size_t quorum = vms == 1 ? 1 : std::max<size_t>(2, (vms + 2) / 3);
    return !call.is_running && !call.is_busy && call.stopped_count >= quorum;
  }

  void Finish(uint64_t id,
              std::error_code ec,
              const ReplicationStatus& status) {
    if (auto node = calls_.extract(id)) {
      if (node.mapped().is_forwarded) {
        LogForwardingEnded(node.mapped(), ec);
      }
      node.mapped().done(ec, status);
    }
  }

  void LogForwardingEnded(Call& call, std::error_code ec) const {
    std::string silent;
    for (const Forwarded& it : call.waiting) {
      silent += (silent.empty() ? "" : ",") + it.vm.value;
    }
    const auto count = [&call](ForwardedCommandResult result) {
      return std::to_string(call.result_counts[result]);
    };
    const Duration age = delegate_.Now() - call.began_at;
    LogEvent(Event::kForwardingEnded,
             {{"endpoint", call.endpoint.value},
              {"step", std::string(GetEndpointCommandName(call.command.kind))},
              {"error", ec ? ec.message() : "none"},
              {"direct", !call.direct_result   ? "not_ended"
                         : *call.direct_result ? call.direct_result->message()
                                               : "none"},
              {"forwarded", std::to_string(call.forwarded_count)},
              {"answered", count(ForwardedCommandResult::kAnswered)},
              {"busy", count(ForwardedCommandResult::kBusy)},
              {"not_sent", count(ForwardedCommandResult::kNotSent)},
              {"answer_lost", count(ForwardedCommandResult::kAnswerLost)},
              {"stopped", count(ForwardedCommandResult::kStopped)},
              {"silent", silent.empty() ? "none" : silent},
              {"after_ms", std::to_string(age.count() / 1000)}});
  }

  void Answer(const ForwardedCommand& request,
              ForwardedCommandResult result,
              const ReplicationStatus& status) {
    running_.erase({request.reply_to, request.id});
    delegate_.AnswerForwardedCommand(request.reply_to,
                                     {request.id, self_, result, status});
  }

  C& commands_;
  T& delegate_;
  const PeerGroup& peers_;
  const VmId self_;
  const SuspicionQuery is_suspected_;
  std::map<uint64_t, Call> calls_;
  /** Commands of other VMs that are in progress here. */
  std::set<std::pair<SocketAddress, uint64_t>> running_;
  uint64_t next_id_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_COMMAND_FORWARDER_H_
