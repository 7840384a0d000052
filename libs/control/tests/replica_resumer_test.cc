#include "control/failover/replica_resumer.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "control/tests/captured_log.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

/** A replica that is paused until it is resumed, and a clock. */
class FakeReplica {
 public:
  void Send(const EndpointEntry&,
            const EndpointCommand& command,
            Duration,
            const EndpointCommandCompletion& done) {
    if (command.kind == EndpointCommandKind::kResume) {
      if (loses_answer) {
        done(Error::kAnswerLost, {});
        return;
      }
      status.paused_at = {};
    }
    done({}, status);
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

  ReplicationStatus status;
  bool loses_answer = false;

 private:
  TimePoint now_{std::chrono::seconds(100)};
  std::multimap<TimePoint, std::function<void()>> tasks_;
};

}  // namespace

TEST_GROUP(ReplicaResumer) {
  FakeReplica fake;
  ReplicaResumer<FakeReplica, FakeReplica> resumer{fake, fake};
  EndpointEntry entry;
  CapturedLog log;

  void setup() override {
    entry.id.value = "db-2";
    entry.service.value = "groyne-logs";
    fake.status.term = Term{3};
    fake.status.received = {Term{3}, LogPosition{41}};
  }
};

TEST(ReplicaResumer, LogsThePauseOfAnotherVmThatItEnds) {
  // A new holder of the duty ends the pauses of the one before. Without the
  // terms, that cannot be told from the end of a pause of its own.
  fake.status.paused_at = Term{7};
  resumer.ResumeIfPaused(entry, {ResumeReason::kDutyClaimed, std::nullopt});
  fake.Advance(Duration(0));
  const auto lines = log.ListLines("replica.resume");
  LONGS_EQUAL(2, lines.size());
  CheckFields(lines[0],
              "service=groyne-logs endpoint=db-2 step=sent "
              "reason=duty_claimed error=none paused_at=7 own_pause=none "
              "term=3 received=3.41");
  CheckFields(lines[1], "step=answered error=none paused_at=0 own_pause=7");
}

TEST(ReplicaResumer, LeavesAPauseThatAnotherVmHasSetSince) {
  fake.status.paused_at = Term{7};
  resumer.ScheduleResume(entry, {ResumeReason::kAbandonedAttempt, Term{4}});
  fake.Advance(kPausedReplicaWatchPeriod);
  CHECK(log.ListLines("replica.resume").empty());
  CHECK(fake.status.paused_at == Term{7});
}

TEST(ReplicaResumer, LogsAResumeThatMayTakeEffectLater) {
  fake.status.paused_at = Term{4};
  fake.loses_answer = true;
  resumer.ResumeIfPaused(entry, {ResumeReason::kPromotionConfirmed, Term{4}});
  fake.Advance(Duration(0));
  const auto lines = log.ListLines("replica.resume");
  LONGS_EQUAL(2, lines.size());
  CheckFields(lines[1], "step=answered reason=promotion_confirmed");
  CHECK(lines[1].find(" error=none ") == std::string::npos);
}

TEST(ReplicaResumer, LogsNothingForAReplicaThatIsNotPaused) {
  resumer.ResumeIfPaused(entry, {ResumeReason::kDutyClaimed, Term{}});
  fake.Advance(std::chrono::seconds(3));
  CHECK(log.ListLines("replica.resume").empty());
}

}  // namespace magnoliareel
