#include "control/failover/command_forwarder.h"

#include "control/tests/captured_log.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTimeout = milliseconds(300);

/** An endpoint behind the network of one VM, and the messages to other VMs. */
class FakeNetwork {
 public:
  // EndpointCommandSender
  void Send(const EndpointEntry&,
            const EndpointCommand& command,
            Duration timeout,
            EndpointCommandCompletion done) {
    ++direct_count;
    After(direct_delay.value_or(timeout), [this, command,
                                           done = std::move(done)] {
      done(direct_delay ? direct_error : make_error_code(Error::kAnswerLost),
           MakeStatus());
    });
  }

  // ForwardedCommandChannel
  void ForwardCommand(const SocketAddress& to,
                      const ForwardedCommand& command) {
    forwarded.emplace_back(to, command);
  }
  void AnswerForwardedCommand(const SocketAddress& to,
                              const ForwardedCommandResponse& response) {
    answers.emplace_back(to, response);
  }

  TimePoint Now() const { return now_; }
  void After(Duration pause, std::function<void()> task) {
    tasks_.emplace(now_ + pause, std::move(task));
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

  static ReplicationStatus MakeStatus() {
    ReplicationStatus status;
    status.is_primary = true;
    status.received = {Term{1}, LogPosition{9}};
    return status;
  }

  int direct_count = 0;
  /** Time until the endpoint answers this VM; none if it does not. */
  std::optional<Duration> direct_delay;
  std::error_code direct_error;
  std::vector<std::pair<SocketAddress, ForwardedCommand>> forwarded;
  std::vector<std::pair<SocketAddress, ForwardedCommandResponse>> answers;

 private:
  TimePoint now_{std::chrono::seconds(100)};
  std::multimap<TimePoint, std::function<void()>> tasks_;
};

}  // namespace

TEST_GROUP(CommandForwarder) {
  FakeNetwork network;
  PeerGroup peers{SocketAddress{"127.0.0.1", 1}};
  EndpointEntry endpoint;
  bool is_suspected = false;
  CommandForwarder<FakeNetwork, FakeNetwork> forwarder{
      network, network, peers, VmId{"vm-1"},
      [this](const EndpointId&) { return is_suspected; }};
  int done_count = 0;
  std::error_code error;
  ReplicationStatus status;

  void setup() override {
    endpoint.id.value = "db-1";
    AddPeer("vm-2", 2, {});
    AddPeer("vm-3", 3, {});
  }

  void AddPeer(const char* vm, uint16_t port,
               std::vector<ConditionReport> suspicions) {
    Heartbeat heartbeat;
    heartbeat.vm.value = vm;
    heartbeat.address = {"127.0.0.1", port};
    heartbeat.suspicions = std::move(suspicions);
    peers.RecordHeartbeat(heartbeat, network.Now());
  }

  void Send(EndpointCommandKind kind = EndpointCommandKind::kReport) {
    forwarder.Send(endpoint, {kind, Term{2}}, kTimeout,
                   [this](std::error_code ec, const ReplicationStatus& it) {
                     ++done_count;
                     error = ec;
                     status = it;
                   });
  }

  void Respond(const char* vm, ForwardedCommandResult result) {
    forwarder.HandleResponse({network.forwarded.front().second.id, VmId{vm},
                              result, FakeNetwork::MakeStatus()});
  }
};

TEST(CommandForwarder, AnEndpointThatAnswersIsNotAskedByOtherVms) {
  network.direct_delay = milliseconds(40);
  Send();
  network.Advance(kTimeout);
  CHECK(!error && status.is_primary);
  LONGS_EQUAL(1, done_count);
  CHECK(network.forwarded.empty());
}

TEST(CommandForwarder, OtherVmsAskAnEndpointThatDoesNotAnswer) {
  Send(EndpointCommandKind::kDemote);
  network.Advance(kForwardingDelay);
  LONGS_EQUAL(2, network.forwarded.size());
  CHECK(network.forwarded.front().second.command ==
        (EndpointCommand{EndpointCommandKind::kDemote, Term{2}}));
  Respond("vm-3", ForwardedCommandResult::kNotSent);
  LONGS_EQUAL(0, done_count);
  Respond("vm-2", ForwardedCommandResult::kAnswered);
  CHECK(!error && status.is_primary);
  network.Advance(kTimeout);
  LONGS_EQUAL(1, done_count);
}

TEST(CommandForwarder, LogsTheVmsThatDidNotRespond) {
  // Only responses were logged, so that a primary which other VMs could not
  // reach and one whose relays never responded looked alike.
  CapturedLog log;
  AddPeer("vm-4", 4, {});
  Send(EndpointCommandKind::kDemote);
  network.Advance(kForwardingDelay);
  Respond("vm-3", ForwardedCommandResult::kBusy);
  network.Advance(kTimeout);
  const auto ended = log.ListLines("command.forwarding_ended");
  LONGS_EQUAL(1, ended.size());
  CheckFields(ended[0],
              "endpoint=db-1 step=demote forwarded=3 answered=0 busy=1 "
              "not_sent=0 answer_lost=0 stopped=0 silent=vm-2,vm-4 "
              "after_ms=300");
}

TEST(CommandForwarder, LogsNoForwardingForAnEndpointThatAnswers) {
  CapturedLog log;
  network.direct_delay = milliseconds(40);
  Send();
  network.Advance(kTimeout);
  CHECK(log.ListLines("command.forwarding_ended").empty());
}

TEST(CommandForwarder, LogsThatADirectAnswerEndedAForwarding) {
  CapturedLog log;
  network.direct_delay = milliseconds(90);
  Send();
  network.Advance(kTimeout);
  const auto ended = log.ListLines("command.forwarding_ended");
  LONGS_EQUAL(1, ended.size());
  CheckFields(ended[0],
              "step=report error=none direct=none forwarded=2 answered=0 "
              "silent=vm-2,vm-3 after_ms=90");
}

TEST(CommandForwarder, ASuspectedEndpointIsAskedByOtherVmsAtOnce) {
  is_suspected = true;
  Send();
  LONGS_EQUAL(2, network.forwarded.size());
}

TEST(CommandForwarder, ADeadEndpointIsReportedBeforeTheTimeout) {
  // A failover must not wait for the timeout if every VM was refused.
  network.direct_delay = milliseconds(1);
  network.direct_error = Error::kUnreachable;
  Send();
  network.Advance(milliseconds(10));
  Respond("vm-2", ForwardedCommandResult::kNotSent);
  LONGS_EQUAL(0, done_count);
  Respond("vm-3", ForwardedCommandResult::kNotSent);
  LONGS_EQUAL(1, done_count);
  CHECK(error == Error::kUnreachable);
}

TEST(CommandForwarder, ACommandThatAVmMayStillSendIsNotReportedAsNotSent) {
  network.direct_delay = milliseconds(1);
  network.direct_error = Error::kUnreachable;
  Send(EndpointCommandKind::kDemote);
  network.Advance(milliseconds(10));
  Respond("vm-2", ForwardedCommandResult::kNotSent);
  network.Advance(kTimeout);
  LONGS_EQUAL(1, done_count);
  CHECK(error == Error::kAnswerLost);
}

TEST(CommandForwarder, AnEndpointThatAQuorumFindsStoppedIsReportedAsStopped) {
  network.direct_delay = milliseconds(1);
  network.direct_error = Error::kUnreachable;
  Send(EndpointCommandKind::kDemote);
  network.Advance(milliseconds(10));
  Respond("vm-2", ForwardedCommandResult::kStopped);
  LONGS_EQUAL(0, done_count);
  Respond("vm-3", ForwardedCommandResult::kStopped);
  CHECK(error == Error::kEndpointStopped);
}

TEST(CommandForwarder, OneRefusedConnectionDoesNotShowThatAnEndpointStopped) {
  // The refusal of one path outweighed the silence of all others, and a primary
  // that ran was replaced without a demotion.
  network.direct_delay = milliseconds(1);
  network.direct_error = Error::kEndpointStopped;
  Send(EndpointCommandKind::kDemote);
  network.Advance(milliseconds(10));
  Respond("vm-2", ForwardedCommandResult::kNotSent);
  Respond("vm-3", ForwardedCommandResult::kNotSent);
  CHECK(error == Error::kUnreachable);
}

TEST(CommandForwarder, AnEndpointThatAcceptsAConnectionIsNotStopped) {
  AddPeer("vm-4", 4, {});
  network.direct_delay = milliseconds(1);
  network.direct_error = Error::kEndpointStopped;
  Send(EndpointCommandKind::kDemote);
  network.Advance(milliseconds(10));
  Respond("vm-2", ForwardedCommandResult::kStopped);
  Respond("vm-3", ForwardedCommandResult::kStopped);
  Respond("vm-4", ForwardedCommandResult::kAnswerLost);
  CHECK(error == Error::kAnswerLost);
}

TEST(CommandForwarder, AVmThatDoesNotRespondIsNoReasonToWaitForItsOpinion) {
  AddPeer("vm-4", 4, {});
  network.direct_delay = milliseconds(1);
  network.direct_error = Error::kEndpointStopped;
  Send(EndpointCommandKind::kDemote);
  network.Advance(milliseconds(10));
  Respond("vm-2", ForwardedCommandResult::kStopped);
  network.Advance(kTimeout);
  CHECK(error == Error::kEndpointStopped);
}

TEST(CommandForwarder, AnEndpointThatAnotherVmFindsBusyIsNotStopped) {
  network.direct_delay = milliseconds(1);
  network.direct_error = Error::kEndpointStopped;
  Send(EndpointCommandKind::kDemote);
  network.Advance(milliseconds(10));
  Respond("vm-2", ForwardedCommandResult::kBusy);
  Respond("vm-3", ForwardedCommandResult::kStopped);
  CHECK(error == Error::kOverloaded);
}

TEST(CommandForwarder, ABusyEndpointIsStillAskedByTheOtherVms) {
  is_suspected = true;
  Send();
  Respond("vm-2", ForwardedCommandResult::kBusy);
  LONGS_EQUAL(0, done_count);
  Respond("vm-3", ForwardedCommandResult::kAnswered);
  CHECK(!error && status.is_primary);
}

TEST(CommandForwarder, ABusyEndpointIsNotReportedAsUnreachable) {
  is_suspected = true;
  Send();
  Respond("vm-2", ForwardedCommandResult::kBusy);
  network.Advance(kTimeout);
  LONGS_EQUAL(1, done_count);
  CHECK(error == Error::kOverloaded);
}

TEST(CommandForwarder, ARepeatedRequestIsSentOnce) {
  const ForwardedCommand request{
      7, {"127.0.0.1", 5}, endpoint.id, {}, milliseconds(200)};
  network.direct_delay = milliseconds(5);
  forwarder.HandleForwardedCommand(request, &endpoint);
  forwarder.HandleForwardedCommand(request, &endpoint);
  network.Advance(milliseconds(5));
  LONGS_EQUAL(1, network.direct_count);
  LONGS_EQUAL(1, network.answers.size());
}

TEST(CommandForwarder, LostDatagramsAreRepeated) {
  is_suspected = true;
  Send();
  network.Advance(kForwardedCommandRetryInterval);
  LONGS_EQUAL(4, network.forwarded.size());
  CHECK(network.forwarded.back().second.timeout ==
        kTimeout - kForwardedCommandRetryInterval - kForwardedResponseTime);
  LONGS_EQUAL(network.forwarded.front().second.id,
              network.forwarded.back().second.id);
}

TEST(CommandForwarder, NoVmIsAskedWhoseResponseWouldComeLate) {
  network.direct_delay = kTimeout - milliseconds(10);
  network.direct_error = Error::kUnreachable;
  is_suspected = false;
  Send();
  network.Advance(kForwardingDelay);
  const size_t asked = network.forwarded.size();
  network.Advance(kTimeout - kForwardingDelay - kForwardedResponseTime -
                  milliseconds(1));
  const size_t asked_in_time = network.forwarded.size();
  CHECK(asked_in_time > asked);
  network.Advance(kTimeout);
  LONGS_EQUAL(asked_in_time, network.forwarded.size());
}

TEST(CommandForwarder, ResponsesOfAnEarlierProcessAreIgnored) {
  network.Advance(milliseconds(1));
  CommandForwarder<FakeNetwork, FakeNetwork> later{
      network, network, peers, VmId{"vm-1"},
      [](const EndpointId&) { return true; }};
  Send();
  network.Advance(kForwardingDelay);
  const uint64_t earlier = network.forwarded.front().second.id;
  later.Send(endpoint, {EndpointCommandKind::kReport, {}}, kTimeout,
             [](std::error_code ec, const ReplicationStatus&) {
               CHECK(ec == Error::kAnswerLost);
             });
  CHECK(network.forwarded.back().second.id != earlier);
  later.HandleResponse({earlier, VmId{"vm-2"},
                        ForwardedCommandResult::kAnswered,
                        FakeNetwork::MakeStatus()});
  network.Advance(kTimeout);
}

TEST(CommandForwarder, VmsThatObserveTheEndpointAreAskedFirst) {
  AddPeer("vm-2", 2, {{endpoint.id, EndpointCondition::kUnreachable}});
  for (uint16_t it = 4; it < 4 + kMaxForwardingVms; ++it) {
    AddPeer(("vm-" + std::to_string(it)).c_str(), it, {});
  }
  AddPeer("vm-9", 9, {{endpoint.id, EndpointCondition::kCommitsStalled}});
  is_suspected = true;
  Send();
  LONGS_EQUAL(kMaxForwardingVms, network.forwarded.size());
  LONGS_EQUAL(9, network.forwarded.front().first.port);
  for (const auto& [to, command] : network.forwarded) {
    CHECK(to.port != 2);
  }
}

TEST(CommandForwarder, AnswersACommandOfAnotherVm) {
  const ForwardedCommand request{
      7, {"127.0.0.1", 5}, endpoint.id, {}, milliseconds(200)};
  forwarder.HandleForwardedCommand(request, nullptr);
  CHECK(network.answers.front().second.result ==
        ForwardedCommandResult::kNotSent);
  LONGS_EQUAL(0, network.direct_count);
  network.direct_delay = milliseconds(5);
  forwarder.HandleForwardedCommand(request, &endpoint);
  network.Advance(milliseconds(5));
  const auto& [to, response] = network.answers.back();
  LONGS_EQUAL(5, to.port);
  LONGS_EQUAL(7, response.id);
  CHECK(response.vm == VmId{"vm-1"});
  CHECK(response.result == ForwardedCommandResult::kAnswered);
  CHECK(response.status.is_primary);
}

}  // namespace magnoliareel
