#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/entry.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

SealingKey MakeKey() {
  SealingKey key{};
  key.fill(3);
  return key;
}

std::shared_ptr<Deployment> MakeDeployment(uint64_t version) {
  auto deployment = std::make_shared<Deployment>();
  deployment->version = version;
  ServiceConfig service;
  service.service.value = "logs";
  service.default_deadline = std::chrono::seconds(5);
  service.max_deadline = std::chrono::seconds(60);
  service.groups.push_back({{"a"},
                            {{{"a1"}, {"x"}, 5, 32},
                             {{"a2"}, {"y"}, 5, 32},
                             {{"a3"}, {"z"}, 5, 32}}});
  deployment->document.services.push_back(service);
  deployment->document.callers.push_back(
      {{"crew"}, {HashSha256("key")}, {{"logs"}}});
  for (const char* it : {"x", "y", "z"}) {
    deployment->vms.push_back(
        {{std::string("vm-") + it}, {it}, "", std::string("at-") + it, false});
  }
  deployment->ownership = Ownership(deployment->document, deployment->vms);
  return deployment;
}

/** Keeps the calls that an entry makes, for the test to answer. */
class FakePoolers {
 public:
  struct Asked {
    std::string address;
    PoolerRequest request;
    PoolerReplyCompletion done;
  };

  void Call(const std::string& address,
            const PoolerRequest& request,
            Duration /*timeout*/,
            PoolerReplyCompletion done) {
    asked.push_back({address, request, std::move(done)});
  }
  void Ping(const std::string& /*address*/,
            Duration /*timeout*/,
            const PingCompletion& done) {
    done(is_answering_pings ? std::error_code()
                            : make_error_code(Error::kAnswerLost));
  }

  Asked Take() {
    Asked it = std::move(asked.front());
    asked.pop_front();
    return it;
  }

  std::deque<Asked> asked;
  bool is_answering_pings = true;
};

PoolerReply MakeReply(Outcome outcome, std::error_code ec) {
  PoolerReply reply;
  reply.answer.outcome = outcome;
  reply.answer.ec = ec;
  return reply;
}

}  // namespace

TEST_GROUP(Entry) {
  ManualExecutor executor;
  FakePoolers poolers;
  EntryState<ManualExecutor> state{executor};
  const TokenSealer sealer{{MakeKey()}};
  EntryService<ManualExecutor, FakePoolers> service{
      executor, poolers, state, sealer, {{"x"}, 1}};
  std::optional<CallerAnswer> answer;

  void setup() override {
    state.Apply(MakeDeployment(1));
  }

  CallerRequest MakeRequest(CallerVerb verb) {
    CallerRequest request;
    request.verb = verb;
    request.caller.value = "crew";
    request.key = "key";
    request.request.value = "r-1";
    SessionToken token;
    token.caller.value = "crew";
    token.service.value = "logs";
    request.token = sealer.Seal(token);
    request.statement = "put x y";
    return request;
  }

  void Serve(CallerRequest request) {
    service.Serve(std::move(request),
                  [this](const CallerAnswer& it) { answer = it; });
  }

  void Pass(int milliseconds) {
    executor.Advance(std::chrono::milliseconds(milliseconds));
  }
};

TEST(Entry, FollowsTheHintToThePrimaryAndSealsTheNewMark) {
  Serve(MakeRequest(CallerVerb::kWrite));
  PoolerReply redirect = MakeReply(Outcome::kNotRun, Error::kNotPrimary);
  redirect.answer.primary.value = "a2";
  redirect.answer.primary_term.value = 4;
  poolers.Take().done(redirect);
  const auto second = poolers.Take();
  CHECK(second.request.endpoint == EndpointId{"a2"});
  PoolerReply done = MakeReply(Outcome::kDone, {});
  done.answer.point = {{4}, {17}};
  done.answer.holders = {{"a2"}, {"a3"}};
  second.done(done);
  CHECK(answer->outcome == Outcome::kDone);
  CHECK(sealer.Open(answer->token)->GetMark({"a"}).point ==
        (LogPoint{{4}, {17}}));
}

TEST(Entry, SettlesAnUnsafeWriteWhoseAnswerWasLost) {
  Serve(MakeRequest(CallerVerb::kWrite));
  poolers.Take().done({Error::kAnswerLost, {}});
  Pass(300);
  const auto second = poolers.Take();
  CHECK(second.request.verb == PoolerVerb::kSettle);
  second.done(MakeReply(Outcome::kNotRun, Error::kRequestVoid));
  CHECK(answer->outcome == Outcome::kNotRun);
}

TEST(Entry, ARefusedLookupLeavesTheOutcomeUnknown) {
  Serve(MakeRequest(CallerVerb::kWrite));
  poolers.Take().done({Error::kAnswerLost, {}});
  Pass(300);
  poolers.Take().done(MakeReply(Outcome::kNotRun, Error::kOverloaded));
  CHECK(answer->outcome == Outcome::kUnknown);
}

TEST(Entry, RepeatsASafeWriteAndKeepsTheDoubtOfTheFirstAttempt) {
  CallerRequest request = MakeRequest(CallerVerb::kWrite);
  request.is_idempotent = true;
  Serve(request);
  poolers.Take().done({Error::kAnswerLost, {}});
  Pass(300);
  const auto second = poolers.Take();
  CHECK(second.request.verb == PoolerVerb::kWrite);
  second.done(MakeReply(Outcome::kNotRun, Error::kOverloaded));
  CHECK(answer->outcome == Outcome::kUnknown);
}

TEST(Entry, TakesTheNextOwnerWhenAPoolerIsGone) {
  Serve(MakeRequest(CallerVerb::kWrite));
  const auto first = poolers.Take();
  first.done({Error::kUnreachable, {}});
  const auto second = poolers.Take();
  CHECK(second.address != first.address);
  CHECK(second.request.endpoint == first.request.endpoint);
}

TEST(Entry, GivesUpASilentPoolerAndIgnoresItsLateAnswer) {
  poolers.is_answering_pings = false;
  CallerRequest request = MakeRequest(CallerVerb::kWrite);
  request.is_idempotent = true;
  Serve(request);
  const auto first = poolers.Take();
  Pass(1000);
  const auto second = poolers.Take();
  CHECK(second.address != first.address);
  first.done(MakeReply(Outcome::kFailed, Error::kStatementFailed));
  CHECK(!answer.has_value());
  second.done(MakeReply(Outcome::kDone, {}));
  CHECK(answer->outcome == Outcome::kDone);
}

TEST(Entry, WaitsForALongStatementAtALivePooler) {
  Serve(MakeRequest(CallerVerb::kWrite));
  const auto first = poolers.Take();
  Pass(4000);
  CHECK(poolers.asked.empty());
  first.done(MakeReply(Outcome::kDone, {}));
  CHECK(answer->outcome == Outcome::kDone);
}

TEST(Entry, KeepsTheDeploymentThatARequestWasAdmittedIn) {
  auto first = MakeDeployment(2);
  const std::weak_ptr<const Deployment> watched = first;
  state.Apply(std::move(first));
  Serve(MakeRequest(CallerVerb::kWrite));
  state.Apply(MakeDeployment(3));
  poolers.Take().done(MakeReply(Outcome::kNotRun, Error::kNoPrimary));
  Pass(300);
  CHECK(!watched.expired());
  const auto second = poolers.Take();
  CHECK(second.request.group == GroupId{"a"});
  second.done(MakeReply(Outcome::kDone, {}));
  CHECK(answer->outcome == Outcome::kDone);
}

TEST(Entry, AnswersAtTheDeadline) {
  CallerRequest request = MakeRequest(CallerVerb::kWrite);
  request.deadline = std::chrono::milliseconds(100);
  Serve(request);
  poolers.Take().done(MakeReply(Outcome::kNotRun, Error::kNoPrimary));
  while (!answer) {
    Pass(10);
    while (!poolers.asked.empty()) {
      poolers.Take().done(MakeReply(Outcome::kNotRun, Error::kNoPrimary));
    }
  }
  CHECK(answer->outcome == Outcome::kNotRun);
  CHECK(answer->ec == Error::kNoPrimary);
}

}  // namespace magnoliareel
