// Execution of reads, writes and commits.

#include <algorithm>
#include <utility>

#include "standins/group/group_model.h"

namespace magnoliareel {

void GroupModel::RecordExecution(const Connection& connection,
                                 uint64_t id,
                                 const GroupQuery& query,
                                 std::string shape) {
  const Member& member = members_[connection.member];
  const bool in_transaction = connection.status == 'T';
  executed_statements_.push_back({query.request, id, member.id, query.text,
                                  query.arguments ? query.name : std::string(),
                                  std::move(shape), GetLastPoint(member, true),
                                  now_, in_transaction,
                                  in_transaction ? connection.transaction : 0,
                                  connection.values, connection.caller});
}

void GroupModel::RunRead(uint64_t id,
                         const GroupQuery& query,
                         std::string shape) {
  Connection& connection = connections_[id];
  RecordExecution(connection, id, query, std::move(shape));
  const auto found = FindValue(members_[connection.member], query.item);
  Complete(id, found ? "ROW " + *found + "\r\n" : "", "proof-" + query.request);
}

void GroupModel::RunWrite(uint64_t id,
                          const GroupQuery& query,
                          std::string shape) {
  Connection& connection = connections_[id];
  if (!members_[connection.member].is_primary) {
    Fail(id, "READONLY");
    return;
  }
  RecordExecution(connection, id, query, std::move(shape));
  connection.writes.emplace_back(query.item, query.data);
  connection.requests.push_back(query.request);
  if (connection.status == 'T') {
    Complete(id, "", "proof-" + query.request);
    return;
  }
  Commit(id, query.request);
}

void GroupModel::Commit(uint64_t id, const std::string& request) {
  Connection& connection = connections_[id];
  connection.status = 'I';
  if (connection.writes.empty()) {
    Complete(id, "", "proof-" + request);
    return;
  }
  Member& primary = members_[connection.member];
  CommitRecord commit;
  commit.point = {primary.term,
                  LogPosition{GetLastPoint(primary, false).position.value + 1}};
  commit.writes = std::exchange(connection.writes, {});
  commit.requests = std::exchange(connection.requests, {});
  const size_t index = commits_.size();
  commits_.push_back(std::move(commit));
  primary.log.push_back(index);
  primary.applied_count = primary.log.size();
  connection.is_busy = true;
  Replicate(index);
  Acknowledge(id, request, index);
}

void GroupModel::Acknowledge(uint64_t id,
                             const std::string& request,
                             size_t commit) {
  Connection* it = FindConnection(id);
  if (it == nullptr) {
    return;
  }
  const bool received =
      std::any_of(members_.begin(), members_.end(), [&](const Member& member) {
        return &member != &members_[it->member] &&
               std::find(member.log.begin(), member.log.end(), commit) !=
                   member.log.end();
      });
  if (!received && members_.size() > 1) {
    timer_(options_.mean_receive_delay / 2,
           [this, id, request, commit] { Acknowledge(id, request, commit); });
    return;
  }
  if (!members_[it->member].is_primary) {
    // The member lost the primary role while the commit waited for a replica:
    // the outcome is unknown, so no answer is sent.
    return;
  }
  commits_[commit].acknowledged = true;
  commits_[commit].acknowledged_at = now_;
  RecordEarlyAcknowledgement(it->member, commit);
  Complete(id, "", "proof-" + request);
}

}  // namespace magnoliareel
