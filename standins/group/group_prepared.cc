// Values and prepared statements of connections.

#include <algorithm>
#include <utility>

#include "standins/group/group_model.h"

namespace magnoliareel {
namespace {

// A connection that forgets its names does so at one of its first EXECUTEs.
constexpr uint32_t kMaxExecutionsToForget = 8;

}  // namespace

bool GroupModel::Draw(double rate) {
  return rate > 0 && std::uniform_real_distribution<>(0, 1)(random_) < rate;
}

void GroupModel::SetValue(uint64_t id, const GroupQuery& query) {
  ++prepared_counts_.sets;
  if (Draw(options_.set_refusal_rate)) {
    ++prepared_counts_.refused_sets;
    Fail(id, options_.refusal_code);
    return;
  }
  connections_[id].values[query.name] = query.data;
  Complete(id, "", "-");
}

void GroupModel::Prepare(uint64_t id, const GroupQuery& query) {
  ++prepared_counts_.prepares;
  Connection& connection = connections_[id];
  const auto held = connection.prepared_statements.find(query.name);
  const bool is_held = held != connection.prepared_statements.end();
  const bool is_refused_again = is_held && options_.refuse_held_names;
  const bool is_over_limit =
      !is_held && options_.max_prepared > 0 &&
      connection.prepared_statements.size() >= options_.max_prepared;
  if (is_refused_again || is_over_limit ||
      Draw(options_.prepare_refusal_rate)) {
    ++prepared_counts_.refused_prepares;
    Fail(id, is_refused_again ? "MALFORMED" : options_.refusal_code);
    return;
  }
  if (is_held) {
    connection.prepared_bytes -= query.name.size() + held->second.shape.size();
  }
  connection.prepared_statements[query.name] = {
      query.verb == GroupVerb::kPrepareWrite, query.data};
  connection.prepared_bytes += query.name.size() + query.data.size();
  prepared_counts_.max_names = std::max(prepared_counts_.max_names,
                                        connection.prepared_statements.size());
  prepared_counts_.max_bytes =
      std::max(prepared_counts_.max_bytes, connection.prepared_bytes);
  Complete(id, "", "-");
}

void GroupModel::Deallocate(uint64_t id, const GroupQuery& query) {
  Connection& connection = connections_[id];
  const auto it = connection.prepared_statements.find(query.name);
  if (it == connection.prepared_statements.end()) {
    ++prepared_counts_.unknown_names;
    Fail(id, "NOSTMT");
    return;
  }
  ++prepared_counts_.deallocations;
  connection.prepared_bytes -= query.name.size() + it->second.shape.size();
  connection.prepared_statements.erase(it);
  Complete(id, "", "-");
}

void GroupModel::DrawForgetting(Connection& connection) {
  if (Draw(options_.forgetting_rate)) {
    connection.executions_to_forget = std::uniform_int_distribution<uint32_t>(
        1, kMaxExecutionsToForget)(random_);
  }
}

void GroupModel::ForgetPrepared(Connection& connection) {
  connection.prepared_statements.clear();
  connection.prepared_bytes = 0;
}

void GroupModel::StartExecution(uint64_t id, GroupQuery query) {
  Connection& connection = connections_[id];
  if (connection.executions_to_forget > 0 &&
      --connection.executions_to_forget == 0) {
    ++prepared_counts_.forgotten;
    ForgetPrepared(connection);
  }
  const auto it = connection.prepared_statements.find(query.name);
  if (it == connection.prepared_statements.end()) {
    ++prepared_counts_.unknown_names;
    Fail(id, "NOSTMT");
    return;
  }
  const auto& [writes, shape] = it->second;
  if (!ParseExecuteArguments(writes, query) || (writes && query.after)) {
    ++prepared_counts_.malformed;
    Fail(id, "MALFORMED");
    return;
  }
  query.verb = writes ? GroupVerb::kWrite : GroupVerb::kRead;
  RunInSlot(id, std::move(query), (writes ? "WRITE " : "READ ") + shape);
}

}  // namespace magnoliareel
