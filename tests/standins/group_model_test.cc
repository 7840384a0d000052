#include "standins/group/group_model.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <set>
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
          if (bytes.empty()) {
            closed_.insert(connection);
          }
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
    model_->Close(connection);
    return answers_[connection];
  }

  // Sends texts as queries on one new connection and returns the answer to the
  // last one: its first line, and the state that READY names.
  std::string Ask(size_t member, const std::vector<std::string>& texts) {
    std::vector<std::string> lines;
    lines.reserve(texts.size());
    for (const std::string& it : texts) {
      lines.push_back("QUERY q " + it);
    }
    const std::string answers = SendLines(member, lines);
    const size_t ready = answers.rfind("READY ");
    const size_t begin =
        answers.find('\n', answers.rfind("READY ", ready - 1)) + 1;
    const std::string first =
        answers.substr(begin, answers.find("\r\n", begin) - begin);
    return first + " / " + answers[ready + 6];
  }

  // Returns whether a text is refused as malformed, at once and so that the
  // transaction that it is in can only be rolled back.
  bool IsMalformed(const std::string& text) {
    const std::string refusal = "ERROR MALFORMED db-1 / ";
    return Ask(0, {text}) == refusal + "I" &&
           Ask(0, {"BEGIN", text}) == refusal + "E";
  }

  bool Write(size_t member) {
    return Send(member, "WRITE item data").find("COMPLETE") !=
           std::string::npos;
  }

  TimePoint now_;
  std::multimap<TimePoint, std::function<void()>> tasks_;
  std::map<uint64_t, std::string> answers_;
  std::set<uint64_t> closed_;
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

// A pool's name with a blank was read as another name, kind and shape.
TEST(GroupModel, RefusesAPrepareWithoutNameKindOrShape) {
  Start({});
  for (const char* it :
       {"PREPARE", "PREPARE ", "PREPARE s1", "PREPARE s1 ", "PREPARE s1 READ",
        "PREPARE s1 READ ", "PREPARE  READ q1", "PREPARE s1 read q1",
        "PREPARE s1  READ q1", "PREPARE w_q27 blank WRITE q27 blank"}) {
    CHECK_TRUE_TEXT(IsMalformed(it), it);
  }
  LONGS_EQUAL(0, model_->GetPreparedCounts().max_names);
  STRCMP_EQUAL("COMPLETE - / I", Ask(0, {"PREPARE s1 READ  q1 "}).c_str());
}

TEST(GroupModel, RefusesStatementsWithoutTheirFields) {
  Start({});
  for (const char* it : {"",
                         "READ",
                         "READ ",
                         "WRITE",
                         "WRITE it",
                         "WRITE  it",
                         "WRITE ",
                         "SET",
                         "SET ",
                         "SET zone",
                         "SET  north",
                         "DEALLOC",
                         "DEALLOC ",
                         "EXECUTE",
                         "EXECUTE ",
                         "EXECUTE  it",
                         "BEGIN ",
                         "BEGIN WRITE",
                         "BEGIN READ ",
                         "COMMIT now",
                         "ROLLBACK ",
                         "RESET all",
                         "STATUS x",
                         "PAUSE",
                         "PAUSE x",
                         "DEMOTE 2 3",
                         "RESUME 2",
                         "EXPLODE now",
                         "read it",
                         "AFTER 1.0",
                         "AFTER READ it",
                         "AFTER 1 READ it",
                         "AFTER 1.x READ it",
                         "AFTER 1.0 WRITE it x",
                         "AFTER 1.0 SET a b",
                         "AFTER 1.0 AFTER 1.0 READ it"}) {
    CHECK_TRUE_TEXT(IsMalformed(it), it);
  }
  STRCMP_EQUAL("ERROR MALFORMED db-1\r\nREADY I 1.0\r\n",
               SendLines(0, {"QUERY"}).substr(13).c_str());
  STRCMP_EQUAL("ERROR MALFORMED db-1\r\nREADY I 1.0\r\n",
               SendLines(0, {"QUERY  READ it"}).substr(13).c_str());
  LONGS_EQUAL(0, model_->GetExecutedStatements().size());
}

TEST(GroupModel, AnExecutionNeedsTheFieldsOfItsKind) {
  Start({});
  const std::string read = "PREPARE s1 READ q1";
  const std::string write = "PREPARE s1 WRITE q1";
  for (const auto& [prepare, execute] :
       {std::pair(read, "EXECUTE s1"), std::pair(read, "EXECUTE s1 "),
        std::pair(read, "AFTER 1.0 EXECUTE s1"), std::pair(write, "EXECUTE s1"),
        std::pair(write, "EXECUTE s1 "), std::pair(write, "EXECUTE s1 it"),
        std::pair(write, "EXECUTE s1  x"),
        std::pair(write, "AFTER 1.0 EXECUTE s1 it x")}) {
    STRCMP_EQUAL("ERROR MALFORMED db-1 / I",
                 Ask(0, {prepare, execute}).c_str());
    STRCMP_EQUAL("ERROR MALFORMED db-1 / E",
                 Ask(0, {prepare, "BEGIN", execute}).c_str());
  }
  LONGS_EQUAL(0, model_->GetExecutedStatements().size());
  STRCMP_EQUAL("COMPLETE proof-q / I",
               Ask(0, {read, "AFTER 1.0 EXECUTE s1 it"}).c_str());
  STRCMP_EQUAL("COMPLETE proof-q / I",
               Ask(0, {write, "EXECUTE s1 it "}).c_str());
  STRCMP_EQUAL("EXECUTE s1 it ",
               model_->GetExecutedStatements().back().text.c_str());
}

TEST(GroupModel, TheLastFieldExtendsToTheEndOfTheLine) {
  Start({});
  STRCMP_EQUAL("ROW  a  b  / I",
               Ask(0, {"WRITE it  a  b ", "READ it"}).c_str());
  STRCMP_EQUAL("COMPLETE proof-q / I", Ask(0, {"READ it "}).c_str());
  STRCMP_EQUAL("ROW  / I", Ask(0, {"WRITE it ", "READ it"}).c_str());
  Ask(0, {"SET zone ", "SET quay a  b ", "READ it"});
  const auto& values = model_->GetExecutedStatements().back().values;
  STRCMP_EQUAL("", values.at("zone").c_str());
  STRCMP_EQUAL("a  b ", values.at("quay").c_str());
}

TEST(GroupModel, AnUnknownNameIsNoRunAndKeepsTheTransaction) {
  Start({});
  for (const char* it : {"EXECUTE s2 it", "DEALLOC s2", "DEALLOC s1 x"}) {
    STRCMP_EQUAL("ERROR NOSTMT db-1 / T",
                 Ask(0, {"PREPARE s1 READ q1", "BEGIN", it}).c_str());
  }
  STRCMP_EQUAL(
      "ERROR NOSTMT db-1 / I",
      Ask(0, {"PREPARE s1 READ q1", "DEALLOC s1", "EXECUTE s1 it"}).c_str());
  STRCMP_EQUAL(
      "ERROR NOSTMT db-1 / I",
      Ask(0, {"PREPARE s1 READ q1", "RESET", "EXECUTE s1 it"}).c_str());
  LONGS_EQUAL(5, model_->GetPreparedCounts().unknown_names);
  LONGS_EQUAL(1, model_->GetPreparedCounts().deallocations);
}

TEST(GroupModel, AFailedTransactionCanOnlyBeEnded) {
  Start({});
  STRCMP_EQUAL("ERROR READONLY db-2 / E",
               Ask(1, {"BEGIN READ", "WRITE it x"}).c_str());
  STRCMP_EQUAL("ERROR LAGGING db-1 / T",
               Ask(0, {"BEGIN", "AFTER 9.9 READ it"}).c_str());
  STRCMP_EQUAL("ERROR MALFORMED db-1 / E",
               Ask(0, {"BEGIN", "BEGIN", "READ it"}).c_str());
  STRCMP_EQUAL("ERROR ABORTED db-1 / I",
               Ask(0, {"BEGIN", "WRITE it x", "BEGIN", "COMMIT"}).c_str());
  STRCMP_EQUAL("COMPLETE - / I",
               Ask(0, {"BEGIN", "WRITE it x", "BEGIN", "ROLLBACK"}).c_str());
  LONGS_EQUAL(0, model_->GetCommits().size());
}

TEST(GroupModel, ClosesAConnectionThatBreaksTheProtocol) {
  Start({});
  for (const char* it :
       {"QUERY q READ it", "HELLO", "STARTUP db", "STARTUP db "}) {
    const uint64_t connection = ++connection_count_;
    model_->Open(0, connection);
    model_->Receive(connection, std::string(it) + "\r\n");
    STRCMP_EQUAL("ERROR MALFORMED db-1\r\n", answers_[connection].c_str());
    CHECK_TRUE(closed_.contains(connection));
  }
  STRCMP_EQUAL("READY I 1.0\r\nERROR MALFORMED db-1\r\nREADY I 1.0\r\n",
               SendLines(0, {"STARTUP db tester"}).c_str());
}

// Without a limit, a name that repeats the shape goes unnoticed.
TEST(GroupModel, RefusesAMessageOfMoreThanOneMebibyte) {
  constexpr size_t kLimit = 1024 * 1024;
  Start({});
  const std::string head = "QUERY q WRITE it ";
  const std::string fits = head + std::string(kLimit - head.size(), 'x');
  STRCMP_EQUAL("READY I 1.0\r\nCOMPLETE proof-q\r\nREADY I 1.1\r\n",
               SendLines(0, {fits}).c_str());
  const std::string refusal =
      "READY I 1.1\r\nCOMPLETE proof-b\r\nREADY I 1.1\r\n"
      "ERROR TOOLARGE db-1\r\n";
  STRCMP_EQUAL(
      refusal.c_str(),
      SendLines(0, {"QUERY b READ no", fits + "x", "QUERY c READ it"}).c_str());
  CHECK_TRUE(closed_.contains(connection_count_));
  // Nothing but the missing end of the line is outstanding.
  const uint64_t connection = ++connection_count_;
  model_->Open(0, connection);
  model_->Receive(connection, "STARTUP db tester\r\n");
  RunFor(milliseconds(100));
  model_->Receive(connection, fits + "\r");
  CHECK_FALSE(closed_.contains(connection));
  model_->Receive(connection, "x");
  CHECK_TRUE(closed_.contains(connection));
  CHECK_TRUE(answers_[connection].ends_with("ERROR TOOLARGE db-1\r\n"));
  LONGS_EQUAL(2, model_->GetExecutedStatements().size());
}

TEST(GroupModel, KeepsHowMuchAConnectionHeld) {
  Start({});
  Ask(0, {"PREPARE s1 READ q1", "PREPARE s2 WRITE q22", "DEALLOC s1",
          "PREPARE s2 READ q2", "PREPARE s3 READ q3"});
  Ask(0, {"PREPARE s1 READ q"});
  const PreparedCounts& counts = model_->GetPreparedCounts();
  LONGS_EQUAL(2, counts.max_names);
  LONGS_EQUAL(9, counts.max_bytes);
  LONGS_EQUAL(5, counts.prepares);
  LONGS_EQUAL(0, counts.refused_prepares);
}

TEST(GroupModel, LimitsTheNamesOfAConnection) {
  GroupOptions options;
  options.max_prepared = 2;
  options.refusal_code = "BUSY";
  Start(options);
  const std::vector<std::string> full = {"PREPARE s1 READ q1",
                                         "PREPARE s2 READ q2"};
  const auto after = [&](std::vector<std::string> texts) {
    texts.insert(texts.begin(), full.begin(), full.end());
    return Ask(0, texts);
  };
  STRCMP_EQUAL("ERROR BUSY db-1 / I", after({"PREPARE s3 READ q3"}).c_str());
  STRCMP_EQUAL("ERROR BUSY db-1 / T",
               after({"BEGIN", "PREPARE s3 READ q3"}).c_str());
  STRCMP_EQUAL("ERROR NOSTMT db-1 / I",
               after({"PREPARE s3 READ q3", "EXECUTE s3 it"}).c_str());
  STRCMP_EQUAL("COMPLETE - / I", after({"PREPARE s2 READ q3"}).c_str());
  STRCMP_EQUAL("COMPLETE - / I",
               after({"DEALLOC s1", "PREPARE s3 READ q3"}).c_str());
  LONGS_EQUAL(2, model_->GetPreparedCounts().max_names);
  LONGS_EQUAL(3, model_->GetPreparedCounts().refused_prepares);
}

TEST(GroupModel, ANameThatIsHeldIsReplacedOrRefused) {
  const std::vector<std::string> texts = {
      "PREPARE s1 READ q1", "PREPARE s1 READ q2", "EXECUTE s1 it"};
  GroupOptions options;
  Start(options);
  Ask(0, texts);
  STRCMP_EQUAL("READ q2", model_->GetExecutedStatements().back().shape.c_str());
  options.refuse_held_names = true;
  Start(options);
  Ask(0, texts);
  STRCMP_EQUAL("READ q1", model_->GetExecutedStatements().back().shape.c_str());
  LONGS_EQUAL(1, model_->GetPreparedCounts().refused_prepares);
}

TEST(GroupModel, RefusesAShareOfPreparesAndValues) {
  GroupOptions options;
  options.prepare_refusal_rate = 0.3;
  options.set_refusal_rate = 0.6;
  Start(options);
  std::vector<std::string> texts;
  for (int it = 0; it < 200; ++it) {
    texts.push_back("PREPARE s" + std::to_string(it) + " READ q");
    texts.push_back("SET v" + std::to_string(it) + " x");
  }
  const std::string last = Ask(0, texts);
  CHECK_TRUE(last == "COMPLETE - / I" || last == "ERROR FAILED db-1 / I");
  const PreparedCounts& counts = model_->GetPreparedCounts();
  LONGS_EQUAL(200, counts.prepares);
  LONGS_EQUAL(200, counts.sets);
  CHECK_COMPARE(counts.refused_prepares, >, 30);
  CHECK_COMPARE(counts.refused_prepares, <, 90);
  CHECK_COMPARE(counts.refused_sets, >, 90);
  CHECK_COMPARE(counts.refused_sets, <, 150);
  LONGS_EQUAL(200 - counts.refused_prepares, counts.max_names);
}

TEST(GroupModel, AConnectionForgetsItsNamesOnceWithoutANotice) {
  GroupOptions options;
  options.forgetting_rate = 1;
  Start(options);
  std::vector<std::string> texts = {"SET zone north", "PREPARE s1 READ q1"};
  texts.insert(texts.end(), 10, "EXECUTE s1 it");
  STRCMP_EQUAL("ERROR NOSTMT db-1 / I", Ask(0, texts).c_str());
  STRCMP_EQUAL("ERROR NOSTMT db-1 / I", Ask(0, texts).c_str());
  LONGS_EQUAL(2, model_->GetPreparedCounts().forgotten);
  texts.insert(texts.end(), {"PREPARE s1 READ q1"});
  texts.insert(texts.end(), 10, "EXECUTE s1 it");
  STRCMP_EQUAL("COMPLETE proof-q / I", Ask(0, texts).c_str());
  STRCMP_EQUAL(
      "north",
      model_->GetExecutedStatements().back().values.at("zone").c_str());
}

}  // namespace magnoliareel
