#ifndef MAGNOLIAREEL_STANDINS_GROUP_GROUP_MODEL_H_
#define MAGNOLIAREEL_STANDINS_GROUP_GROUP_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** What the stand-in group does by itself and what is done to it. */
struct GroupOptions {
  std::string service = "groyne-logs";
  uint32_t replicas = 2;
  uint32_t slots = 4;
  uint32_t max_connections = 32;
  /** A new connection takes a slot this long. */
  Duration handshake_time = std::chrono::milliseconds(5);
  /** A read, write or commit takes a slot this long, on average. */
  Duration mean_run_time = std::chrono::milliseconds(4);
  /** From a commit to its receipt at a replica. */
  Duration mean_receive_delay = std::chrono::milliseconds(3);
  /** From the receipt to its application, on average. */
  Duration mean_apply_delay = std::chrono::milliseconds(8);
  /** From a promotion's order until it takes effect. */
  Duration promotion_delay = std::chrono::milliseconds(120);
  /** Part of the statements whose answer is lost after they ran. */
  double answer_loss_rate = 0;
  uint64_t seed = 1;
};

/** One commit of the group's log. */
struct CommitRecord {
  LogPoint point;
  std::vector<std::pair<std::string, std::string>> writes;
  /** Ids of the requests that wrote. */
  std::vector<std::string> requests;
  /** A replica had received it when it was answered. */
  bool acknowledged = false;
  TimePoint acknowledged_at;
};

/** What an endpoint ran, for the checks of tests. */
struct ExecutedStatement {
  std::string request;
  uint64_t connection = 0;
  std::string endpoint;
  std::string text;
  /** End of the log that it ran on. */
  LogPoint log;
  TimePoint at;
  bool in_transaction = false;
  std::map<std::string, std::string> values;
};

/** A group of replicated databases on the session protocol of lines, under a
    clock that its owner moves: terms, log positions, acknowledgement by a
    replica, pauses, promotions, slots, transactions, lost answers, crashes.

    Test-only. It is not a copy of any real system: it follows the protocol's
    published rules, and checks nothing by itself.
*/
class GroupModel {
 public:
  /** Sends bytes to the peer of a connection, or ends it if they are empty. */
  using Output = std::function<void(uint64_t connection, std::string bytes)>;
  /** Calls a function at a later moment. */
  using Timer = std::function<void(Duration, std::function<void()>)>;

  GroupModel(GroupOptions options, Output output, Timer timer);

  /** Moves the clock. */
  void SetNow(TimePoint now) { now_ = now; }

  /** A connection to a member was accepted.

      @param member      0 is the first primary
      @param connection  a number that its owner chose
  */
  void Open(size_t member, uint64_t connection);
  /** Bytes arrived on a connection. */
  void Receive(uint64_t connection, std::string_view bytes);
  /** The peer ended a connection. */
  void Close(uint64_t connection);

  /** Orders a promotion; it takes effect later.

      @param id             the member
      @param fencing_token  refused if a higher one was used
      @returns              HTTP status of the order
  */
  int Promote(std::string_view id, uint64_t fencing_token);

  /** Ends a member's process; its log stays. Its connections end, or fall
      silent if `is_silent`. */
  void Crash(size_t member, bool is_silent);
  /** Starts a crashed member again. */
  void Restart(size_t member);
  /** Cuts a member off from the replication of the others. */
  void SetReplicationCut(size_t member, bool is_cut);
  /** Makes every replica apply so many times as late. */
  void SetApplyDelayFactor(double factor) { apply_delay_factor_ = factor; }
  /** @see GroupOptions::answer_loss_rate */
  void SetAnswerLossRate(double part) { options_.answer_loss_rate = part; }

  /** @returns the id of a member */
  const std::string& GetId(size_t member) const { return members_[member].id; }
  /** @returns true if the member sees itself as the primary */
  bool HasPrimaryRole(size_t member) const {
    return members_[member].is_primary;
  }
  /** @returns true if the member runs */
  bool IsRunning(size_t member) const { return members_[member].is_up; }
  /** @returns number of members */
  size_t CountMembers() const { return members_.size(); }
  /** @returns time of the member's start, for the directory */
  int64_t GetStartedAt(size_t member) const {
    return members_[member].started_at;
  }
  /** @returns every commit that was ever made, rolled back ones included */
  const std::vector<CommitRecord>& GetCommits() const { return commits_; }
  /** @returns the log of a member as indexes of GetCommits() */
  const std::vector<size_t>& GetLog(size_t member) const {
    return members_[member].log;
  }
  /** @returns what was run, in order */
  const std::vector<ExecutedStatement>& GetExecutedStatements() const {
    return executed_statements_;
  }

 private:
  struct Member {
    std::string id;
    bool is_up = true;
    bool is_silent = false;
    bool is_primary = false;
    bool is_replication_cut = false;
    Term term;
    Term paused_at_term;
    int64_t started_at = 1;
    uint64_t incarnation = 0;
    /** Received commits; the first `applied` of them are applied. */
    std::vector<size_t> log;
    size_t applied_count = 0;
    uint32_t used_slots = 0;
  };
  struct Connection {
    size_t member = 0;
    uint64_t incarnation = 0;
    bool is_open = false;
    char status = 'I';
    bool is_read_write = false;
    std::string input;
    std::vector<std::string> pending_lines;
    bool is_busy = false;
    std::map<std::string, std::string> values;
    std::map<std::string, std::pair<bool, std::string>> prepared_statements;
    std::vector<std::pair<std::string, std::string>> writes;
    std::vector<std::string> requests;
  };

  void HandleLine(uint64_t id, const std::string& line);
  void ProcessPendingLines(uint64_t id);
  void HandleQuery(uint64_t id, std::string_view rest);
  static void ReleaseSlot(Member& member, uint64_t incarnation);
  void RunInSlot(uint64_t id, std::string request, std::string text);
  void Run(uint64_t id, const std::string& request, const std::string& text);
  void RunRead(uint64_t id,
               const std::string& request,
               const std::string& text,
               const std::string& item);
  void RunWrite(uint64_t id,
                const std::string& request,
                const std::string& text,
                std::string item,
                std::string data);
  void Commit(uint64_t id, const std::string& request);
  void Acknowledge(uint64_t id, const std::string& request, size_t commit);
  void Answer(uint64_t id, std::string body);
  void Fail(uint64_t id, std::string_view code);
  void Complete(uint64_t id, std::string rows, std::string proof);
  void Replicate(size_t commit);
  void ReceiveCommit(size_t member, size_t commit, uint64_t incarnation);
  void SynchronizeLog(size_t member);
  void ApplyPromotion(size_t member, Term term);
  LogPoint GetLastPoint(const Member& member, bool applied) const;
  std::string FormatReady(const Connection& connection) const;
  std::string FormatStatus(const Member& member) const;
  std::optional<std::string> FindValue(const Member& member,
                                       const std::string& item) const;
  Connection* FindConnection(uint64_t id);
  Duration AddJitter(Duration mean);
  void RecordExecution(const Connection& connection,
                       uint64_t id,
                       const std::string& request,
                       const std::string& text);

  GroupOptions options_;
  Output output_;
  Timer timer_;
  TimePoint now_;
  std::vector<Member> members_;
  std::map<uint64_t, Connection> connections_;
  std::vector<CommitRecord> commits_;
  std::vector<ExecutedStatement> executed_statements_;
  Term newest_term_{1};
  uint64_t highest_fencing_token_ = 0;
  double apply_delay_factor_ = 1;
  std::mt19937_64 random_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STANDINS_GROUP_GROUP_MODEL_H_
