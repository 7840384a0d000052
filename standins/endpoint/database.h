#ifndef MAGNOLIAREEL_STANDINS_ENDPOINT_DATABASE_H_
#define MAGNOLIAREEL_STANDINS_ENDPOINT_DATABASE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/core.h"
#include "messages/messages.h"
#include "standins/endpoint/statement.h"

namespace magnoliareel::standin {

/** Models one endpoint database without timing or transport: terms, a log,
    records, connections, transactions and a table of the results of requests,
    by which a repeated request is recognised.

    EndpointModel adds slots, run times, delays and faults. Test-only.
*/
class Database {
 public:
  /** Largest number of records in one answer to kReplicate. */
  static constexpr size_t kMaxBatchRecords = 500;

  /** @param max_connections  largest number of connections at a time */
  explicit Database(size_t max_connections)
      : max_connections_(max_connections) {}

  /** Executes a call immediately. A kWatch is answered without waiting for a
      change.

      @param call  the call
      @returns     the answer, with the state after the call
  */
  EndpointAnswer Handle(const EndpointCall& call);

  /** @returns role, term and last log point of the endpoint */
  EndpointReport GetReport() const;

  /** Sets whether the endpoint reports that it is leaving the group. */
  void SetLeaving(bool is_leaving) { is_leaving_ = is_leaving; }

  /** Closes the connections of a client. @param client  name of the client */
  void CloseClientConnections(std::string_view client);

  /** Models a restart of the process: closes all connections and gives up the
      primary role, but keeps the log and the term. */
  void Restart();

  /** @returns the call that fetches the next records from the primary, or
               nothing if this endpoint does not follow a primary */
  std::optional<EndpointCall> MakeReplicateCall() const;
  /** @returns the address of the primary that this endpoint follows; empty if
               there is none */
  const std::string& GetPrimaryAddress() const { return primary_address_; }

  /** Appends the records of an answer to the log, or truncates the log if it
      has diverged from the primary's. Ignores an answer to a call that the
      state has overtaken.

      @param call    call that MakeReplicateCall() returned
      @param answer  the primary's answer
  */
  void ApplyReplicationAnswer(const EndpointCall& call,
                              const EndpointAnswer& answer);

  /** @returns the whole log, for the checks of tests */
  std::span<const LogRecord> GetLog() const { return log_; }
  /** Reads a record.

      @param key  key of the record
      @returns    value of the record; empty if there is none
  */
  std::string Read(std::string_view key) const;

 private:
  struct Connection {
    std::string client;
    bool is_in_transaction = false;
    std::vector<std::string> statements;
  };
  struct RecordedResult {
    std::string answer;
    LogPoint point;
    std::vector<std::string> statements;

    /** @returns whether the request was settled before it ran, and so must
                 never run */
    bool IsVoid() const { return answer.empty(); }
  };

  EndpointAnswer Dispatch(const EndpointCall& call);
  EndpointAnswer OpenConnection(const EndpointCall& call);
  EndpointAnswer CloseConnection(const ConnectionId& connection);
  static void EndTransaction(Connection& connection);
  EndpointAnswer RunStatement(const EndpointCall& call);
  EndpointAnswer RunRead(const EndpointCall& call,
                         const Connection& connection);
  EndpointAnswer RunWrite(const EndpointCall& call, Connection& connection);
  EndpointAnswer Begin(const EndpointCall& call, Connection& connection);
  EndpointAnswer Commit(const EndpointCall& call, Connection& connection);
  EndpointAnswer Rollback(Connection& connection);
  EndpointAnswer SettleRequest(const EndpointCall& call);
  EndpointAnswer HandleAdopt(const EndpointCall& call);
  EndpointAnswer HandlePromote(const EndpointCall& call);
  EndpointAnswer HandleFollow(const EndpointCall& call);
  EndpointAnswer ServeReplication(const EndpointCall& call) const;

  std::optional<EndpointAnswer> FindRecordedResult(
      const EndpointCall& call,
      std::span<const std::string> statements) const;
  void AdoptTerm(Term term);
  EndpointAnswer Append(const EndpointCall& call,
                        std::vector<std::string> statements,
                        std::string answer);
  void ApplyRecord(const LogRecord& record, LogPosition position);
  void Truncate(LogPosition position);
  Term GetTermAt(LogPosition position) const;
  LogPoint GetLast() const;

  size_t max_connections_;
  Term term_;
  EndpointRole role_ = EndpointRole::kReplica;
  bool is_leaving_ = false;
  Lineage lineage_;
  std::vector<LogRecord> log_;
  Records records_;
  std::unordered_map<std::string, RecordedResult> recorded_results_;
  std::unordered_map<ConnectionId, Connection> connections_;
  /** Connections whose close arrived before the call that opens them. */
  std::unordered_set<ConnectionId> closed_before_open_;
  std::string primary_address_;
};

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_DATABASE_H_
