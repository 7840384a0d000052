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

/** One endpoint database without time or transport: terms, a log, records,
    connections, transactions, and a table of request names.

    The server around it adds slots, run times, delays and faults; tests use it
    directly.
*/
class Database {
 public:
  /** Most records in one answer to kReplicate. */
  static constexpr size_t kMaxBatchRecords = 500;

  /** @param max_connections  connections accepted at a time */
  explicit Database(size_t max_connections)
      : max_connections_(max_connections) {}

  /** Carries out a call at once; kWatch is answered without holding it.

      @param call  any call
      @returns     its answer, with the state after the call
  */
  EndpointAnswer Handle(const EndpointCall& call);

  /** @returns the state at present */
  EndpointReport GetReport() const;

  /** Sets whether it is leaving. */
  void SetLeaving(bool is_leaving) { is_leaving_ = is_leaving; }

  /** Closes the connections of a client. @param client  its name */
  void CloseClientConnections(std::string_view client);

  /** Loses connections and office, and keeps the log and the term. */
  void Restart();

  /** @returns the call that fetches the next records from the primary; nothing
      if it does not follow one */
  std::optional<EndpointCall> MakeReplicateCall() const;
  /** @returns address of the primary that it follows */
  const std::string& GetPrimaryAddress() const { return primary_address_; }

  /** Takes over the answer to MakeReplicateCall().

      @param call    the call
      @param answer  its answer
  */
  void ApplyReplicationAnswer(const EndpointCall& call,
                              const EndpointAnswer& answer);

  /** @returns the whole log, for checks */
  std::span<const LogRecord> GetLog() const { return log_; }
  /** @param key  a record  @returns its text; empty if there is none */
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
  std::unordered_set<ConnectionId> closed_before_open_;
  std::string primary_address_;
};

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_DATABASE_H_
