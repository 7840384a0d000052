#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_SCRIPTED_NODE_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_SCRIPTED_NODE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/forwarding.h"
#include "platform/platform.h"
#include "relay/relay.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

/** A statement that the scripted database ran. */
struct ScriptedRun {
  uint64_t connection = 0;
  bool at_primary = false;
  std::string request;
  /** Received behind the id and AFTER. */
  std::string text;
  /** Kind and shape of the prepared statement, if it was an execution. */
  std::string shape;
  /** Name under which the connection was opened; for a forwarded statement, the
      team that its header names. */
  std::string opened_by;
  /** Port to which the connection leads. */
  uint16_t port = 0;
  std::map<std::string, std::string> values;
  bool in_transaction = false;
};

/** A node before databases that answer each line by the published rules, or as
    the test says. Each message takes one millisecond. @see TrafficNet */
class ScriptedNode {
 public:
  using Core =
      TrafficCore<ForwardingCodec<platform::LineDialect>, ScriptedNode>;
  /** Returns the lines before READY with which the database answers a text, or
      none to let it answer by the rules; "silence" leaves it unanswered. May
      change the state of the connection, as in READY. */
  using Script = std::function<std::optional<std::string>(std::string_view text,
                                                          char& status)>;

  /** @param has_replica  whether the primary has a replica
      @param memory       what sessions and statements may use */
  explicit ScriptedNode(bool has_replica = false, MemoryShares memory = {});

  void SetScript(Script script) { script_ = std::move(script); }
  /** @param database  "entries", which is read at the primary, or "lookups"
      @returns         the session of a new caller */
  uint64_t OpenCaller(std::string_view database = "entries",
                      std::string_view name = "caller");
  /** Puts a configuration with these teams in force.

      @param teams            null for none
      @param max_connections  connections that a database accepts
      @param public_database  database that needs no key; empty for none
  */
  void ApplyTeams(std::shared_ptr<const TeamTable> teams,
                  uint32_t max_connections = 32,
                  std::string_view public_database = {});
  /** Lets other VMs hold the connections of the first database.

      @param holders  their names; number n listens on port 7000 + n
  */
  void ApplyHolders(const std::vector<std::string>& holders);
  /** Lets connections to a port fail, or succeed again. */
  void SetRefused(uint16_t port, bool refused);
  /** Sends a text with an id of its own, and waits for the answer.

      @param session  the session
      @param text     the text behind the id
      @param timeout  longest wait
      @returns        the answer's lines, each with "\n"; incomplete after the
                      timeout
  */
  std::string Ask(uint64_t session,
                  std::string_view text,
                  Duration timeout = std::chrono::seconds(2));
  /** @returns what a session was answered since its last Ask() */
  const std::string& GetAnswer(uint64_t session) { return answers_[session]; }
  /** Forgets what a session was answered. */
  void ClearAnswer(uint64_t session) { answers_[session].clear(); }
  /** Ends all connections to the databases. */
  void DropConnections();
  /** @returns the time that the last Ask() took */
  Duration GetElapsed() const { return elapsed_; }
  /** Lets time pass. */
  void Run(Duration time);

  Core& GetCore() { return *core_; }
  /** @returns whether a caller is not read */
  bool IsPaused(uint64_t session) const { return paused_.contains(session); }
  const std::vector<ScriptedRun>& GetRuns() const { return runs_; }
  /** @returns the texts that the databases have received */
  const std::vector<std::string>& GetTexts() const { return texts_; }
  /** @returns the number of texts that begin with a prefix */
  size_t CountTexts(std::string_view prefix) const;
  /** @returns the names that are prepared on all connections */
  size_t CountPrepared() const;
  /** @returns the length of the longest line received, without CR LF */
  size_t GetLongestLine() const { return longest_line_; }
  bool IsClosed(uint64_t session) const {
    return std::find(closed_.begin(), closed_.end(), session) != closed_.end();
  }
  size_t CountOpenConnections() const { return connections_.size(); }
  /** @returns the open connections to a port */
  size_t CountOpenConnections(uint16_t port) const;
  size_t CountOpenedConnections() const { return opened_connection_count_; }

  // TrafficNet.
  TimePoint Now() const { return now_; }
  std::string& GetCallerBuffer(uint64_t id) { return to_callers_[id]; }
  std::string& GetEndpointBuffer(uint64_t id) { return to_endpoints_[id]; }
  void OpenEndpoint(uint64_t id, const SocketAddress& address);
  void CloseEndpoint(uint64_t id);
  void CloseCaller(uint64_t id) { closed_.push_back(id); }
  bool HasUnread(uint64_t) const { return false; }
  void PauseCaller(uint64_t id) { paused_.insert(id); }
  void ResumeCaller(uint64_t id) { paused_.erase(id); }
  void Wake(TimePoint moment);
  void Report(const ConditionReport&) {}
  void Observe(const StatementSample&) {}
  void OnPrimaryConfirmed(const EndpointId&, Term) {}
  void RequestPeerBound(const FreshnessBoundQuery& query);
  void SendPermitRequest(const VmId& to, const PermitRequest& request) {
    permit_requests_.emplace_back(to, request);
  }
  /** @returns the requests for permits, in their order */
  const std::vector<std::pair<VmId, PermitRequest>>& GetPermitRequests() const {
    return permit_requests_;
  }

 private:
  std::vector<std::pair<VmId, PermitRequest>> permit_requests_;
  struct Connection {
    bool is_primary = false;
    uint16_t port = 0;
    std::string opened_by;
    char status = 'I';
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
  };

  std::set<uint64_t> paused_;

  void Step();
  /** @returns the answer */
  std::string HandleLine(uint64_t id, std::string_view line);
  /** @returns the lines before READY */
  std::string Answer(uint64_t id,
                     Connection& connection,
                     std::string_view request,
                     std::string_view text);

  TimePoint now_{std::chrono::seconds(10)};
  std::optional<TimePoint> wake_at_;
  std::map<uint64_t, std::string> to_callers_;
  std::map<uint64_t, std::string> to_endpoints_;
  std::map<uint64_t, std::string> answers_;
  std::map<uint64_t, Connection> connections_;
  std::vector<uint64_t> opening_;
  std::vector<uint64_t> closed_;
  std::set<uint16_t> refused_ports_;
  std::vector<ServiceId> bound_requests_;
  std::vector<ScriptedRun> runs_;
  std::vector<std::string> texts_;
  Script script_;
  Duration elapsed_{};
  size_t longest_line_ = 0;
  size_t opened_connection_count_ = 0;
  uint64_t log_position_ = 1;
  uint64_t next_session_ = 1'000'000;
  uint64_t request_count_ = 0;
  std::shared_ptr<const FleetView> view_;
  std::unique_ptr<Core> core_;
};

/** @param prefix  beginning of the texts
    @param count   number of texts that are answered so; the database answers
                   the others by the rules
    @param answer  the lines before READY
    @param status  state of the connection afterwards, as in READY, if it
   changes
    @returns       the script */
ScriptedNode::Script AnswerFirst(std::string_view prefix,
                                 int count,
                                 std::string answer,
                                 std::optional<char> status = std::nullopt);

/** Checks that an answer begins with a text. */
void CheckAnswer(std::string_view expected, std::string_view answer);

/** A test group whose log lines are discarded unless a trace is wanted. */
struct ScriptedNodeGroup : Utest {
  void setup() override;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_SCRIPTED_NODE_H_
