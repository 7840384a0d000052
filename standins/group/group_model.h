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
#include "standins/group/group_query.h"

namespace magnoliareel {

/** Configuration of a simulated group: size, timing and fault rates. Values
    documented as a mean vary between 0.4 and 1.6 times the given value. */
struct GroupOptions {
  std::string service = "groyne-logs";
  uint32_t replicas = 2;
  uint32_t slots = 4;
  uint32_t max_connections = 32;
  /** Number of statements that may wait for a slot; as many as there are slots
      if 0. */
  uint32_t queue = 0;
  /** Time for which opening a connection occupies a slot. */
  Duration handshake_time = std::chrono::milliseconds(5);
  /** Whether a handshake waits for its slot, also one that is then refused
      because of the connection limit. */
  bool handshakes_wait = false;
  /** Mean time for which a read, write or commit occupies a slot. */
  Duration mean_run_time = std::chrono::milliseconds(4);
  /** Mean time from a commit until a replica receives it. */
  Duration mean_receive_delay = std::chrono::milliseconds(3);
  /** Mean time from the receipt of a commit until a replica applies it. */
  Duration mean_apply_delay = std::chrono::milliseconds(8);
  /** Time from the request for a promotion until it takes effect. */
  Duration promotion_delay = std::chrono::milliseconds(120);
  /** Fraction of statements whose answer is dropped after they ran. */
  double answer_loss_rate = 0;
  /** Whether a demoted primary that crashes and restarts leads its old term
      again, if no other member was promoted meanwhile. */
  bool demoted_lead_again = false;
  /** Whether a member receives nothing from the request for its promotion until
      the promotion takes effect. */
  bool ordered_receive_nothing = false;
  /** Whether a PREPARE of a name that the connection holds is refused as
      malformed, instead of replacing the statement. */
  bool refuse_held_names = false;
  /** Largest number of prepared names of a connection; no limit if 0. */
  uint32_t max_prepared = 0;
  /** Fraction of the well-formed PREPAREs that are refused. */
  double prepare_refusal_rate = 0;
  /** Fraction of the well-formed SETs that are refused. */
  double set_refusal_rate = 0;
  /** Code of those refusals, and of a PREPARE beyond max_prepared. */
  std::string refusal_code = "FAILED";
  /** Fraction of the connections that forget their prepared names once without
      a notice. */
  double forgetting_rate = 0;
  uint64_t seed = 1;
};

/** A commit in the group's log. */
struct CommitRecord {
  LogPoint point;
  std::vector<std::pair<std::string, std::string>> writes;
  /** Ids of the requests whose writes the commit holds. */
  std::vector<std::string> requests;
  /** True if the commit succeeded, which takes a replica that has received
      it. */
  bool acknowledged = false;
  TimePoint acknowledged_at;
};

/** A promotion that took effect, recorded for the checks of tests. */
struct AppliedPromotion {
  std::string endpoint;
  TimePoint at;
  /** The member's log at that time, as indexes into GetCommits(). */
  std::vector<size_t> log;
};

/** An acknowledgement between the request for a promotion and its effect, by
    another member than the one to be promoted, of a commit that this one lacks
    at that time. It is lost unless the promotion has no effect. */
struct EarlyAcknowledgement {
  /** Id of the member to be promoted. */
  std::string ordered;
  uint64_t fencing_token = 0;
  TimePoint ordered_at;
  /** Id of the member that acknowledged the commit. */
  std::string endpoint;
  /** Index into GetCommits(). */
  size_t commit = 0;
};

/** A statement that a member executed, recorded for the checks of tests. */
struct ExecutedStatement {
  std::string request;
  uint64_t connection = 0;
  std::string endpoint;
  /** Received behind the id and AFTER. */
  std::string text;
  /** If the statement was an execution: the name behind EXECUTE. */
  std::string prepared_name;
  /** If the statement was an execution: kind and shape of the prepared
      statement that ran, such as "READ q12". */
  std::string shape;
  /** Last log point that the member had applied at execution. */
  LogPoint log;
  TimePoint at;
  bool in_transaction = false;
  /** Number of its transaction, which no other transaction has; 0 without. */
  uint64_t transaction = 0;
  std::map<std::string, std::string> values;
  /** Name under which the connection was opened. */
  std::string caller;
};

/** Counts of prepared statements, values and refusals, for the checks of
    tests. */
struct PreparedCounts {
  /** Largest number of names that one connection held at a time. */
  size_t max_names = 0;
  /** Largest size of the names and shapes that one connection held at a time,
      in bytes. */
  size_t max_bytes = 0;
  /** Well-formed PREPAREs, with the refused ones. */
  uint64_t prepares = 0;
  uint64_t refused_prepares = 0;
  uint64_t deallocations = 0;
  /** EXECUTEs and DEALLOCs of names that the connection didn't hold. */
  uint64_t unknown_names = 0;
  /** Well-formed SETs, with the refused ones. */
  uint64_t sets = 0;
  uint64_t refused_sets = 0;
  /** Connections that forgot their names. */
  uint64_t forgotten = 0;
  /** Queries that broke the grammar. */
  uint64_t malformed = 0;
};

/** Simulates a group of replicated databases that speak the line-based session
    protocol. It models terms, log positions, acknowledgement by a replica,
    pauses of replication, promotions, demotions, slots, transactions, lost
    answers and crashes. The owner supplies the transport, the clock and the
    timers, so that the same model runs in simulated time and in a server.

    Test-only. It follows the published rules of the protocol, is not a copy of
    a real system and verifies nothing itself: tests check what it recorded.
*/
class GroupModel {
 public:
  /** Sends bytes to the peer of a connection, or closes the connection if
      there are none. */
  using Output = std::function<void(uint64_t connection, std::string bytes)>;
  /** Calls a function after a delay. */
  using Timer = std::function<void(Duration, std::function<void()>)>;

  /** @param options  size, timing and fault rates
      @param output   sends to the peers of connections
      @param timer    schedules the model's steps
  */
  GroupModel(GroupOptions options, Output output, Timer timer);

  /** Sets the time that the model records. Call it before every other call and
      before each step that the timer runs. */
  void SetNow(TimePoint now) { now_ = now; }

  /** Handles a new connection to a member. A member that is down closes it, or
      leaves it unanswered if it crashed silently.

      @param member      index of the member; 0 is the initial primary
      @param connection  unique number, chosen by the owner
  */
  void Open(size_t member, uint64_t connection);
  /** Handles bytes that arrived on a connection; unknown connections are
      ignored. */
  void Receive(uint64_t connection, std::string_view bytes);
  /** Handles the close of a connection by its peer. */
  void Close(uint64_t connection);

  /** Requests the promotion of a member. It takes effect after
      GroupOptions::promotion_delay unless the member is down or primary by
      then.

      @param id             id of the member
      @param fencing_token  rejected if a higher token was used before
      @returns              HTTP status of the answer: 200, or 409 if the token
                            is too low or the member is unknown or down
  */
  int Promote(std::string_view id, uint64_t fencing_token);

  /** Stops a member; it keeps its log.

      @param member     index of the member
      @param is_silent  whether its connections stay open without an answer,
                        as after the loss of a host, instead of being closed
  */
  void Crash(size_t member, bool is_silent);
  /** Restarts a crashed member. It comes back as a replica if another member
      was promoted meanwhile. */
  void Restart(size_t member);
  /** Ends a member for good: its log is lost with it. Commits that it has
      received stay acknowledged.

      @param member  index of the member
  */
  void Leave(size_t member);
  /** Starts a new member in the place of one that has left. It has an empty
      log, copies the primary's and has an id of its own.

      @param member  index of a member that has left
  */
  void Join(size_t member);
  /** Disconnects a member from replication, or reconnects it. */
  void SetReplicationCut(size_t member, bool is_cut);
  /** Multiplies the apply delay of every replica. */
  void SetApplyDelayFactor(double factor) { apply_delay_factor_ = factor; }
  /** @see GroupOptions::answer_loss_rate */
  void SetAnswerLossRate(double part) { options_.answer_loss_rate = part; }
  /** Sets GroupOptions::prepare_refusal_rate and
      GroupOptions::set_refusal_rate. */
  void SetRefusalRate(double part) {
    options_.prepare_refusal_rate = options_.set_refusal_rate = part;
  }
  /** Applies to connections that open later.
      @see GroupOptions::forgetting_rate */
  void SetForgettingRate(double part) { options_.forgetting_rate = part; }

  /** @returns the id of a member */
  const std::string& GetId(size_t member) const { return members_[member].id; }
  /** @returns whether the member regards itself as the primary; a crashed
               primary still does until a promotion takes effect */
  bool HasPrimaryRole(size_t member) const {
    return members_[member].is_primary;
  }
  /** @returns whether the member is running */
  bool IsRunning(size_t member) const { return members_[member].is_up; }
  /** @returns whether a PAUSE has stopped the member's replication */
  bool IsPaused(size_t member) const {
    return members_[member].paused_at_term > Term{};
  }
  /** @returns whether the member is a replica since a DEMOTE, and has neither
               ended since nor was another promoted */
  bool IsDemoted(size_t member) const {
    return members_[member].is_up && members_[member].is_demoted;
  }
  /** @returns whether the member has left */
  bool HasLeft(size_t member) const { return members_[member].has_left; }
  /** @returns the number of members */
  size_t CountMembers() const { return members_.size(); }
  /** @returns the start time of the member in the directory; it increases by
               one with each restart */
  int64_t GetStartedAt(size_t member) const {
    return members_[member].started_at;
  }
  /** @returns every commit ever made, including those that a promotion
               discarded */
  const std::vector<CommitRecord>& GetCommits() const { return commits_; }
  /** @returns the log of a member, as indexes into GetCommits() */
  const std::vector<size_t>& GetLog(size_t member) const {
    return members_[member].log;
  }
  /** @returns the promotions that took effect, in their order */
  const std::vector<AppliedPromotion>& GetPromotions() const {
    return promotions_;
  }
  /** @returns the acknowledgements of commits that a member lacked whose
               promotion was requested, in their order */
  const std::vector<EarlyAcknowledgement>& GetEarlyAcknowledgements() const {
    return early_acknowledgements_;
  }
  /** @returns the largest number of connections that a member had */
  size_t GetMaxOpenConnections() const { return max_open_connections_; }
  /** @returns the executed statements, in order of execution */
  const std::vector<ExecutedStatement>& GetExecutedStatements() const {
    return executed_statements_;
  }
  /** @returns what was prepared and refused on all connections so far */
  const PreparedCounts& GetPreparedCounts() const { return prepared_counts_; }

 private:
  struct Member {
    std::string id;
    bool is_up = true;
    bool is_silent = false;
    bool has_left = false;
    bool is_primary = false;
    bool is_demoted = false;
    bool is_replication_cut = false;
    Term term;
    /** Term for which a PAUSE stopped replication; zero if none did. */
    Term paused_at_term;
    int64_t started_at = 1;
    /** Incremented by a crash, which invalidates pending steps. */
    uint64_t incarnation = 0;
    /** Received commits, of which the first applied_count are applied. */
    std::vector<size_t> log;
    size_t applied_count = 0;
    /** Handshakes and statements that run or wait for a slot. */
    uint32_t active_count = 0;
  };
  /** An accepted request for a promotion that has not taken effect. */
  struct PendingPromotion {
    size_t member = 0;
    std::string id;
    uint64_t fencing_token = 0;
    TimePoint ordered_at;
  };
  struct PreparedStatement {
    bool writes = false;
    std::string shape;
  };
  struct Connection {
    size_t member = 0;
    uint64_t incarnation = 0;
    bool is_open = false;
    /** Name of the caller, as in STARTUP. */
    std::string caller;
    /** Transaction status as in READY: idle, in a transaction or failed. */
    char status = 'I';
    bool is_read_write = false;
    uint64_t transaction = 0;
    std::string input;
    /** A line was too long; what follows it is not read. */
    bool has_overlong_line = false;
    std::vector<std::string> pending_lines;
    bool is_busy = false;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared_statements;
    /** Size of the names and shapes of prepared_statements. */
    size_t prepared_bytes = 0;
    /** Number of EXECUTEs until it forgets its names; 0 if it doesn't. */
    uint32_t executions_to_forget = 0;
    std::vector<std::pair<std::string, std::string>> writes;
    std::vector<std::string> requests;
  };

  void HandleLine(uint64_t id, const std::string& line);
  void ProcessPendingLines(uint64_t id);
  size_t CountOpen(size_t member) const;
  bool IsFull(size_t member) const;
  void Refuse(uint64_t id, std::string_view code);
  void HandleStartup(uint64_t id, FieldReader fields);
  void FinishHandshake(uint64_t id);
  /** @param fields  what follows the word QUERY; nothing for another word */
  void HandleQuery(uint64_t id, std::optional<std::string_view> fields);
  void HandleStatement(uint64_t id, GroupQuery query);
  void Begin(uint64_t id, bool is_read_write);
  void Rollback(uint64_t id);
  void SetValue(uint64_t id, const GroupQuery& query);
  void Prepare(uint64_t id, const GroupQuery& query);
  void Deallocate(uint64_t id, const GroupQuery& query);
  void StartExecution(uint64_t id, GroupQuery query);
  void DrawForgetting(Connection& connection);
  static void ForgetPrepared(Connection& connection);
  bool Draw(double rate);
  static void ReleaseSlot(Member& member, uint64_t incarnation);
  void RunInSlot(uint64_t id, GroupQuery query, std::string shape);
  void Run(uint64_t id, const GroupQuery& query, std::string shape);
  void RunCommand(uint64_t id, const GroupQuery& query);
  void RunRead(uint64_t id, const GroupQuery& query, std::string shape);
  void RunWrite(uint64_t id, const GroupQuery& query, std::string shape);
  void Commit(uint64_t id, const std::string& request);
  void Acknowledge(uint64_t id, const std::string& request, size_t commit);
  void Answer(uint64_t id, std::string body);
  void Fail(uint64_t id, std::string_view code);
  void Complete(uint64_t id, std::string rows, std::string proof);
  void Replicate(size_t commit);
  void ReceiveCommit(size_t member, size_t commit, uint64_t incarnation);
  void SynchronizeLog(size_t member);
  void ApplyPromotion(size_t member, const std::string& id);
  bool IsOrdered(size_t member) const;
  void RecordEarlyAcknowledgement(size_t member, size_t commit);
  void Demote(size_t member);
  LogPoint GetLastPoint(const Member& member, bool applied) const;
  std::string FormatReady(const Connection& connection) const;
  std::string FormatStatus(const Member& member) const;
  std::optional<std::string> FindValue(const Member& member,
                                       const std::string& item) const;
  Connection* FindConnection(uint64_t id);
  Duration AddJitter(Duration mean);
  void RecordExecution(const Connection& connection,
                       uint64_t id,
                       const GroupQuery& query,
                       std::string shape);

  GroupOptions options_;
  Output output_;
  Timer timer_;
  TimePoint now_;
  std::vector<Member> members_;
  std::map<uint64_t, Connection> connections_;
  std::vector<CommitRecord> commits_;
  /** In the order in which they take effect. */
  std::vector<PendingPromotion> pending_promotions_;
  std::vector<AppliedPromotion> promotions_;
  std::vector<EarlyAcknowledgement> early_acknowledgements_;
  std::vector<ExecutedStatement> executed_statements_;
  size_t max_open_connections_ = 0;
  PreparedCounts prepared_counts_;
  Term newest_term_{1};
  uint64_t highest_fencing_token_ = 0;
  uint64_t transaction_count_ = 0;
  /** Number of ids given to members so far. */
  uint32_t id_count_ = 0;
  double apply_delay_factor_ = 1;
  std::mt19937_64 random_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STANDINS_GROUP_GROUP_MODEL_H_
