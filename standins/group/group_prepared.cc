// Values and prepared statements of connections.

#include <utility>

#include "standins/group/group_model.h"

namespace magnoliareel {

void GroupModel::SetValue(uint64_t id, const GroupQuery& query) {
  connections_[id].values[query.name] = query.data;
  Complete(id, "", "-");
}

void GroupModel::Prepare(uint64_t id, const GroupQuery& query) {
  connections_[id].prepared_statements[query.name] = {
      query.verb == GroupVerb::kPrepareWrite, query.data};
  Complete(id, "", "-");
}

void GroupModel::Deallocate(uint64_t id, const GroupQuery& query) {
  Connection& connection = connections_[id];
  const auto it = connection.prepared_statements.find(query.name);
  if (it == connection.prepared_statements.end()) {
    Fail(id, "NOSTMT");
    return;
  }
  connection.prepared_statements.erase(it);
  Complete(id, "", "-");
}

void GroupModel::StartExecution(uint64_t id, GroupQuery query) {
  Connection& connection = connections_[id];
  const auto it = connection.prepared_statements.find(query.name);
  if (it == connection.prepared_statements.end()) {
    Fail(id, "NOSTMT");
    return;
  }
  const auto& [writes, shape] = it->second;
  if (!ParseExecuteArguments(writes, query) || (writes && query.after)) {
    Fail(id, "MALFORMED");
    return;
  }
  query.verb = writes ? GroupVerb::kWrite : GroupVerb::kRead;
  RunInSlot(id, std::move(query), (writes ? "WRITE " : "READ ") + shape);
}

}  // namespace magnoliareel
