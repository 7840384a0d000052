#include "standins/group/group_model.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

constexpr Duration kPromotionDelay = milliseconds(500);

}  // namespace

TEST_GROUP(GroupModel) {
  // Starts a group. Members 0, 1 and 2 have the ids db-1, db-2 and db-3.
  void Start(GroupOptions options) {
    options.service = "db";
    options.promotion_delay = kPromotionDelay;
    model_ = std::make_unique<GroupModel>(
        options,
        [this](uint64_t connection, const std::string& bytes) {
          answers_[connection] += bytes;
        },
        [this](Duration delay, std::function<void()> task) {
          tasks_.emplace(now_ + delay, std::move(task));
        });
    model_->SetNow(now_);
  }

  void RunFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      const auto task = tasks_.extract(tasks_.begin());
      now_ = task.key();
      model_->SetNow(now_);
      task.mapped()();
    }
    now_ = end;
    model_->SetNow(now_);
  }

  // Sends a query on a new connection and returns its answer, if any.
  std::string Send(size_t member, const std::string& text) {
    const uint64_t connection = ++connection_count_;
    model_->Open(member, connection);
    model_->Receive(connection, "STARTUP db tester\r\nQUERY q" +
                                    std::to_string(connection) + " " + text +
                                    "\r\n");
    RunFor(milliseconds(100));
    return answers_[connection];
  }

  // Sends lines on one new connection and returns the answers.
  std::string SendLines(size_t member, const std::vector<std::string>& lines) {
    const uint64_t connection = ++connection_count_;
    model_->Open(member, connection);
    std::string bytes = "STARTUP db tester\r\n";
    for (const std::string& it : lines) {
      bytes += it + "\r\n";
    }
    model_->Receive(connection, bytes);
    RunFor(milliseconds(100) * (lines.size() + 1));
    return answers_[connection];
  }

  bool Write(size_t member) {
    return Send(member, "WRITE item data").find("COMPLETE") !=
           std::string::npos;
  }

  TimePoint now_;
  std::multimap<TimePoint, std::function<void()>> tasks_;
  std::map<uint64_t, std::string> answers_;
  std::unique_ptr<GroupModel> model_;
  uint64_t connection_count_ = 0;
};

TEST(GroupModel, ADemotedPrimaryComesBackAsAReplica) {
  Start({});
  Send(0, "DEMOTE 2");
  CHECK_TRUE(model_->IsDemoted(0));
  model_->Crash(0, false);
  CHECK_FALSE(model_->IsDemoted(0));
  model_->Restart(0);
  CHECK_FALSE(model_->HasPrimaryRole(0));
  CHECK_FALSE(Write(0));
}

TEST(GroupModel, ADemotedPrimaryLeadsItsOldTermAgain) {
  GroupOptions options;
  options.demoted_lead_again = true;
  Start(options);
  Send(0, "DEMOTE 2");
  model_->Crash(0, false);
  model_->Restart(0);
  CHECK_TRUE(model_->HasPrimaryRole(0));
  CHECK_TRUE(Write(0));
  LONGS_EQUAL(1, model_->GetCommits().back().point.term.value);
}

TEST(GroupModel, ADemotedPrimaryIsAReplicaOncePromotionTookEffect) {
  GroupOptions options;
  options.demoted_lead_again = true;
  Start(options);
  Send(0, "DEMOTE 2");
  model_->Crash(0, false);
  LONGS_EQUAL(200, model_->Promote("db-2", 1));
  RunFor(kPromotionDelay);
  model_->Restart(0);
  CHECK_FALSE(model_->HasPrimaryRole(0));
  CHECK_TRUE(model_->HasPrimaryRole(1));
}

TEST(GroupModel, AnOrderedMemberReceivesUntilItsPromotion) {
  Start({});
  model_->Promote("db-2", 1);
  CHECK_TRUE(Write(0));
  LONGS_EQUAL(1, model_->GetLog(1).size());
  LONGS_EQUAL(0, model_->GetEarlyAcknowledgements().size());
}

TEST(GroupModel, AnOrderedMemberReceivesNothing) {
  GroupOptions options;
  options.ordered_receive_nothing = true;
  Start(options);
  model_->Promote("db-2", 1);
  CHECK_TRUE(Write(0));
  LONGS_EQUAL(0, model_->GetLog(1).size());
  LONGS_EQUAL(1, model_->GetLog(2).size());
  RunFor(kPromotionDelay);
  CHECK_TRUE(Write(1));
  LONGS_EQUAL(1, model_->GetLog(1).size());
}

TEST(GroupModel, RecordsWhatAnOrderedMemberLacks) {
  Start({});
  CHECK_TRUE(Write(0));
  model_->SetReplicationCut(1, true);
  model_->Promote("db-2", 7);
  CHECK_TRUE(Write(0));
  RunFor(kPromotionDelay);
  const auto& records = model_->GetEarlyAcknowledgements();
  LONGS_EQUAL(1, records.size());
  STRCMP_EQUAL("db-2", records.front().ordered.c_str());
  STRCMP_EQUAL("db-1", records.front().endpoint.c_str());
  LONGS_EQUAL(7, records.front().fencing_token);
  LONGS_EQUAL(1, records.front().commit);
}

TEST(GroupModel, RecordsNothingOnceAnOrderIsVoid) {
  Start({});
  model_->SetReplicationCut(1, true);
  model_->Promote("db-2", 7);
  model_->Crash(1, false);
  RunFor(kPromotionDelay);
  model_->Restart(1);
  CHECK_TRUE(model_->HasPrimaryRole(0));
  CHECK_TRUE(Write(0));
  LONGS_EQUAL(0, model_->GetEarlyAcknowledgements().size());
}

// Otherwise a run of another caller's shape under the right text goes unseen.
TEST(GroupModel, RecordsTheShapeThatAnExecutionRan) {
  Start({});
  SendLines(0, {"QUERY a PREPARE s1 WRITE q2c  of two", "QUERY b WRITE it x",
                "QUERY c EXECUTE s1 it y"});
  const auto& statements = model_->GetExecutedStatements();
  LONGS_EQUAL(2, statements.size());
  STRCMP_EQUAL("", statements[0].prepared_name.c_str());
  STRCMP_EQUAL("", statements[0].shape.c_str());
  STRCMP_EQUAL("EXECUTE s1 it y", statements[1].text.c_str());
  STRCMP_EQUAL("s1", statements[1].prepared_name.c_str());
  STRCMP_EQUAL("WRITE q2c  of two", statements[1].shape.c_str());
}

}  // namespace magnoliareel
