#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/control.h"
#include "telemetry/telemetry.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The shortest time that a configuration may take until it is in force on all
// VMs.
constexpr Duration kMaxUnseenChangePeriod = seconds(4);

/** Rows are written as text: a configuration is its version, an endpoint the
    number of its report and its state. */
struct TextRowCodec {
  static std::string_view GetConfigTable() { return "config"; }
  static std::string_view GetConfigKey() { return "routes"; }
  static std::string_view GetEndpointTable() { return "endpoints"; }
  static void ParseRoutes(std::string_view value, RouteTable& out, Findings&) {
    out.version = std::stoull(std::string(value));
  }
  static std::string HideKeys(std::string_view value) {
    return std::string(value);
  }
  static void ParseEndpoint(std::string_view id,
                            std::string_view value,
                            EndpointEntry& out,
                            Findings&) {
    const size_t blank = value.find(' ');
    out.id.value = id;
    out.started_at_ms = 1;
    out.report_number = std::stoull(std::string(value.substr(0, blank)));
    out.draining = value.substr(blank + 1) == "draining";
  }
};

/** Keeps the latest call to each table until the test answers it. Polls on
    connections of their own are answered at once: without changes, or with
   those that the test has set. */
class PendingStore {
 public:
  void List(std::string_view table, std::string_view, RowsCompletion done) {
    listings[std::string(table)] = std::move(done);
  }
  void Get(std::string_view, std::string_view, RowsCompletion) {}
  void Follow(std::string_view table, uint64_t, Duration, RowsCompletion done) {
    polls[std::string(table)] = std::move(done);
  }
  void Poll(std::string_view table,
            uint64_t version,
            const RowsCompletion& done) {
    const std::string name(table);
    ++checks[name];
    if (check_error) {
      done(check_error, {});
      return;
    }
    const auto it = unseen_changes.find(name);
    done({}, it == unseen_changes.end() ? StoredRows{{}, version, false}
                                        : it->second);
  }
  void WriteIf(std::string_view,
               std::string_view,
               std::string_view,
               uint64_t,
               RowsCompletion) {}
  void Put(std::string_view,
           std::string_view,
           std::string_view,
           RowsCompletion) {}

  std::map<std::string, RowsCompletion> listings;
  std::map<std::string, RowsCompletion> polls;
  /** Number of polls on a connection of their own, by table. */
  std::map<std::string, int> checks;
  /** Changes that only those polls deliver. */
  std::map<std::string, StoredRows> unseen_changes;
  /** If set, the error of those polls. */
  std::error_code check_error;
};

/** A node whose clock and store the test controls. */
class TestNode {
 public:
  /** @param is_listed  both tables are listed, and empty */
  explicit TestNode(bool is_listed = true) {
    static LogBuffer log_buffer(0);
    StartBufferedLog(log_buffer, "test");
    fleet.Start();
    if (is_listed) {
      ListTables({});
      Advance(seconds(10));
    }
  }

  /** Answers the first listings of both tables. */
  void ListTables(StoredRows endpoints) {
    Answer(store.listings, "config", {}, {});
    Answer(store.listings, "endpoints", {}, std::move(endpoints));
  }

  TimePoint Now() const { return now_; }
  void After(Duration delay, std::function<void()> task) {
    tasks_.emplace(now_ + delay, std::move(task));
  }
  void Publish(std::shared_ptr<const FleetView> view) { view_ = view; }
  void SendFeedConfirmation(const FeedConfirmation& confirmation) {
    confirmations.push_back(confirmation);
  }

  /** Passes time and runs the tasks that are due. */
  void Advance(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }

  /** Answers the pending call to a table. */
  static void Answer(std::map<std::string, RowsCompletion>& calls,
                     const std::string& table,
                     std::error_code ec,
                     StoredRows rows) {
    const RowsCompletion done = std::exchange(calls[table], nullptr);
    CHECK_TEXT(done != nullptr, table.c_str());
    done(ec, std::move(rows));
  }

  const FleetView& GetView() const { return *view_; }

  const EndpointEntry& GetEndpoint(const std::string& id) const {
    const EndpointEntry* entry = fleet.GetEndpoints().Find(EndpointId{id});
    CHECK_TEXT(entry != nullptr, id.c_str());
    return *entry;
  }

 private:
  TimePoint now_{seconds(100)};
  std::multimap<TimePoint, std::function<void()>> tasks_;
  std::shared_ptr<const FleetView> view_;

 public:
  /** What this VM has told the others. */
  std::vector<FeedConfirmation> confirmations;
  PendingStore store;
  // Declared last, because its construction reads the clock.
  FleetControl<PendingStore, TextRowCodec, TestNode> fleet{store, *this,
                                                           VmId{"vm-1"}};
};

StoredRows MakeRows(uint64_t version, std::vector<StoredRow> rows) {
  return {std::move(rows), version, false};
}

}  // namespace

TEST_GROUP(Fleet){};

TEST(Fleet, DrainCountsFromTheAnswerOfAStoreThatWasNotAway) {
  TestNode node;
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(5, {{"db-1", "1 draining", 5, false}}));
  CHECK(node.GetEndpoint("db-1").draining_since == node.Now());
}

TEST(Fleet, AnEndpointIsNotListedWhileItIsOnlyKept) {
  // A silent primary that the directory has ceased to list is replaced without
  // the grace period of its entry.
  TestNode node;
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(5, {{"db-1", "1 ready", 5, false}}));
  CHECK(node.fleet.IsListed(EndpointId{"db-1"}));
  node.Advance(seconds(1));
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(6, {{"db-1", "", 6, true}}));
  CHECK(!node.fleet.IsListed(EndpointId{"db-1"}));
  CHECK(node.GetEndpoint("db-1").id == EndpointId{"db-1"});
}

TEST(Fleet, AViewTellsTheVersionOfItsEndpointsAndWhenTheyChanged) {
  TestNode node;
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(5, {{"db-1", "1 ready", 5, false}}));
  const TimePoint changed_at = node.Now();
  node.Advance(seconds(1));
  node.fleet.SetLiveVms(2, {});
  LONGS_EQUAL(5, node.GetView().endpoints_version);
  CHECK(node.GetView().endpoints_changed_at == changed_at);
}

TEST(Fleet, AReadOfTheDirectoryListsWhatHasRegistered) {
  TestNode node;
  std::optional<std::error_code> result;
  const auto read = [&] {
    node.fleet.ReadEndpoints([&](std::error_code ec) { result = ec; });
  };
  read();
  TestNode::Answer(node.store.listings, "endpoints", {},
                   {{{"db-1", "1 ready", 5, false}}, 5, false});
  CHECK(result && !*result);
  CHECK(!node.GetEndpoint("db-1").draining);
  read();
  TestNode::Answer(node.store.listings, "endpoints", Error::kStoreUnavailable,
                   {});
  CHECK(result && *result == Error::kStoreUnavailable);
}

TEST(Fleet, AReadOfTheDirectoryDoesNotRemoveWhatWasAddedMeanwhile) {
  TestNode node;
  node.fleet.ReadEndpoints([](std::error_code) {});
  TestNode::Answer(node.store.polls, "endpoints", {},
                   {{{"db-1", "1 ready", 6, false}}, 6, false});
  TestNode::Answer(node.store.listings, "endpoints", {}, {{}, 5, false});
  node.Advance(seconds(4));
  CHECK(!node.GetEndpoint("db-1").draining);
}

TEST(Fleet, ALateReadOfTheDirectoryProvesNothing) {
  // Guards against a read that hangs in an outage which nobody has noticed, and
  // is answered before the endpoints have registered again (LOST).
  TestNode node;
  std::vector<std::error_code> results;
  node.fleet.ReadEndpoints([&](std::error_code ec) { results.push_back(ec); });
  node.Advance(seconds(1));
  TestNode::Answer(node.store.listings, "endpoints", {}, {});
  LONGS_EQUAL(1, results.size());
  CHECK(results.front() == Error::kStoreUnavailable);
}

TEST(Fleet, AReadOfTheDirectoryAfterAnOutageProvesNothingAtFirst) {
  // Endpoints that joined in the outage register up to two seconds after it.
  TestNode node;
  std::optional<std::error_code> result;
  const auto read = [&] {
    node.fleet.ReadEndpoints([&](std::error_code ec) { result = ec; });
    TestNode::Answer(node.store.listings, "endpoints", {}, {});
  };
  TestNode::Answer(node.store.polls, "endpoints", Error::kStoreUnavailable, {});
  read();
  CHECK(*result == Error::kStoreUnavailable);
  node.Advance(seconds(1));
  TestNode::Answer(node.store.polls, "endpoints", {}, {});
  read();
  CHECK(*result == Error::kStoreUnavailable);
  node.Advance(seconds(2));
  read();
  CHECK(!*result);
}

TEST(Fleet, DrainCountsFromTheStartOfTheOutageInWhichItBecameKnown) {
  // Guards against a VM that was cut off from the store and uses a leaving
  // primary for longer than the others (DRAIN).
  TestNode node;
  // It can have been made since the latest answer of the store.
  const TimePoint lost_at = *node.fleet.GetConfirmedAt();
  CHECK(lost_at <= node.Now());
  node.store.check_error = Error::kUnreachable;
  TestNode::Answer(node.store.polls, "endpoints", Error::kUnreachable, {});
  node.Advance(seconds(3));
  const StoredRow leaving{"db-1", "1 draining", 5, false};
  node.fleet.ApplyPeerState(nullptr, std::span(&leaving, 1), 5);
  CHECK(node.GetEndpoint("db-1").draining_since == lost_at);
  node.store.check_error = {};
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(6, {{"db-2", "1 draining", 6, false}}));
  CHECK(node.GetEndpoint("db-2").draining_since == lost_at);
  node.Advance(seconds(20));
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(7, {{"db-3", "1 draining", 7, false}}));
  CHECK(node.GetEndpoint("db-3").draining_since == node.Now());
}

TEST(Fleet, AChangeIsAppliedThoughThePendingCallIsNeverAnswered) {
  // Guards against a VM that keeps an old configuration and directory for the
  // time of a long poll, because the answer to it was lost and its connection
  // stayed open (CONFIG and DRAIN in review/8).
  TestNode node;
  node.store.unseen_changes["config"] =
      MakeRows(5, {{"routes", "8", 5, false}});
  node.store.unseen_changes["endpoints"] =
      MakeRows(5, {{"db-1", "1 draining", 4, false}});
  node.Advance(kMaxUnseenChangePeriod);
  LONGS_EQUAL(8, node.fleet.GetRoutes()->version);
  CHECK(node.GetEndpoint("db-1").draining);
}

TEST(Fleet, AVmThatHearsOfAnothersQuestionDoesNotAskItself) {
  // Guards against store calls that grow with the number of VMs.
  TestNode node;
  node.fleet.RecordConfirmation({{}, 0, 0, 10, milliseconds(20)});
  const int checks = node.store.checks["config"];
  for (int n = 0; n < 20; ++n) {
    node.Advance(milliseconds(1400));
    node.fleet.RecordConfirmation({{}, 0, 0, 10, milliseconds(20)});
  }
  LONGS_EQUAL(checks, node.store.checks["config"]);
  // One that knows more confirms nothing.
  node.fleet.RecordConfirmation({{}, 3, 0, 10, milliseconds(20)});
  node.Advance(seconds(3));
  CHECK(node.store.checks["config"] > checks);
  CHECK(!node.confirmations.empty());
}

TEST(Fleet, AVmWhoseDirectoryIsAsNewAsTheStoreIsNotBehind) {
  // Guards against a VM that asks again and again because a peer has seen the
  // removal of a row, which a later listing does not show.
  TestNode node;
  CHECK(node.fleet.IsBehind(0, 5));
  TestNode::Answer(node.store.polls, "endpoints", Error::kHistoryLost, {});
  TestNode::Answer(node.store.listings, "endpoints", {}, MakeRows(7, {}));
  CHECK(!node.fleet.IsBehind(0, 5));
  CHECK(node.fleet.IsBehind(0, 8));
  node.fleet.ApplyPeerState(nullptr, {}, 8);
  CHECK(!node.fleet.IsBehind(0, 8));
}

TEST(Fleet, ALossOfTheStoreIsNoticedThoughThePendingCallIsNotAnswered) {
  TestNode node;
  node.store.check_error = Error::kAnswerLost;
  node.Advance(kMaxUnseenChangePeriod);
  CHECK(!node.fleet.IsStoreConnected());
}

TEST(Fleet, AProcessThatStartsAmidADrainDoesNotTakeItForANewOne) {
  // Guards against a VM that starts while a primary without a successor drains,
  // and uses it for longer than the others, counted from its own start (DRAIN
  // in review/9). A VM that knows no age must not assume the youngest.
  TestNode other;
  TestNode::Answer(other.store.polls, "endpoints", {},
                   MakeRows(5, {{"db-1", "1 draining", 5, false}}));
  other.Advance(seconds(4));
  const std::vector<DrainNotice> notices = other.fleet.ListDrains();
  LONGS_EQUAL(1, notices.size());
  for (const bool is_early : {false, true}) {
    TestNode node(false);
    if (is_early) {
      node.fleet.HandleDrainNotices(notices);
    }
    node.ListTables(MakeRows(5, {{"db-1", "1 draining", 5, false}}));
    if (!is_early) {
      CHECK(node.GetEndpoint("db-1").draining);
      CHECK(!node.GetEndpoint("db-1").draining_since);
      // It tells nothing that it does not know.
      LONGS_EQUAL(0, node.fleet.ListDrains().size());
      node.fleet.HandleDrainNotices(notices);
    }
    CHECK(node.GetEndpoint("db-1").draining_since == node.Now() - seconds(4));
    // The VM passes it on, if the others start in turn.
    node.Advance(seconds(2));
    LONGS_EQUAL(1, node.fleet.ListDrains().size());
    CHECK(node.fleet.ListDrains().front().age == seconds(6));
  }
}

TEST(Fleet, OfTheDrainTimesBeforeTheFirstListingTheEarliestCounts) {
  // Guards against a notice that lay unread for a while and makes a drain seem
  // younger than the other VMs know it to be (DRAIN).
  TestNode node(false);
  for (const Duration age : {seconds(4), seconds(1)}) {
    const DrainNotice notice{EndpointId{"db-1"}, 1, age};
    node.fleet.HandleDrainNotices(std::span(&notice, 1));
  }
  node.ListTables(MakeRows(5, {{"db-1", "1 draining", 5, false}}));
  CHECK(node.GetEndpoint("db-1").draining_since == node.Now() - seconds(4));
}

TEST(Fleet, ADrainThatBecameKnownLateIsNotPassedOnAsASeenOne) {
  TestNode node;
  node.store.unseen_changes["endpoints"] =
      MakeRows(5, {{"db-1", "1 draining", 5, false}});
  node.Advance(kMaxUnseenChangePeriod);
  CHECK(node.GetEndpoint("db-1").draining_since.has_value());
  LONGS_EQUAL(0, node.fleet.ListDrains().size());
}

TEST(Fleet, ADrainIsNotUndoneByAnEntryOfARestoredStore) {
  // Guards against a leaving database that is used again because the store was
  // restored from a copy which shows it as ready (DRAIN).
  TestNode node;
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(5, {{"db-1", "2 draining", 5, false}}));
  node.Advance(seconds(1));
  TestNode::Answer(node.store.polls, "endpoints", Error::kHistoryLost, {});
  TestNode::Answer(node.store.listings, "endpoints", {},
                   MakeRows(103, {{"db-1", "1 ready", 103, false}}));
  CHECK(node.GetEndpoint("db-1").draining);
  CHECK(node.fleet.GetEndpointRows().at("db-1").value == "2 draining");
}

TEST(Fleet, ADepartedDatabaseIsNotUsedAgainBecauseTheStoreWasRestored) {
  TestNode node;
  const EndpointId id{"db-1"};
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(5, {{"db-1", "2 draining", 5, false}}));
  node.Advance(seconds(1));
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(6, {{"db-1", "", 6, true}}));
  CHECK(node.fleet.GetEndpoints().Find(id) == nullptr);
  node.Advance(seconds(1));
  TestNode::Answer(node.store.polls, "endpoints", Error::kHistoryLost, {});
  TestNode::Answer(node.store.listings, "endpoints", {},
                   MakeRows(103, {{"db-1", "1 ready", 103, false}}));
  CHECK(node.fleet.GetEndpoints().Find(id) == nullptr);
  CHECK(node.fleet.GetEndpointRows().empty());
}

TEST(Fleet, ADeletedRowIsNotPassedOnToPeers) {
  // Guards against a departed database that a VM which has just started learns
  // from a peer: an older row of it had come from another VM.
  TestNode node;
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(5, {{"db-1", "1 draining", 5, false}}));
  node.Advance(seconds(1));
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(6, {{"db-1", "", 6, true}}));
  node.Advance(seconds(1));
  const StoredRow older{"db-1", "1 draining", 5, false};
  node.fleet.ApplyPeerState(nullptr, std::span(&older, 1), 7);
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(8, {{"db-1", "", 8, true}}));
  CHECK(node.fleet.GetEndpoints().Find(EndpointId{"db-1"}) == nullptr);
  CHECK(node.fleet.GetEndpointRows().empty());
}

TEST(Fleet, AnOlderRowOfAPeerIsNotPassedOnToPeers) {
  // Guards against a VM that starts while the store is down and uses a database
  // which has left: a peer that knows better passed on the older row, since its
  // listing as a whole was newer.
  TestNode node;
  TestNode::Answer(node.store.polls, "endpoints", {},
                   MakeRows(5, {{"db-1", "1 draining", 5, false},
                                {"db-2", "1 ready", 5, false}}));
  node.Advance(seconds(1));
  TestNode::Answer(
      node.store.polls, "endpoints", {},
      MakeRows(7, {{"db-1", "", 6, true}, {"db-2", "1 draining", 7, false}}));
  const std::vector<StoredRow> older = {{"db-1", "1 draining", 5, false},
                                        {"db-2", "1 ready", 5, false}};
  node.fleet.ApplyPeerState(nullptr, older, 8);
  const auto& rows = node.fleet.GetEndpointRows();
  CHECK(!rows.contains("db-1"));
  STRCMP_EQUAL("1 draining", rows.at("db-2").value.c_str());
}

}  // namespace magnoliareel
