#include "pool/connections/connection_pool.h"

#include <cassert>
#include <utility>

namespace magnoliareel {

std::optional<ConnectionId> ConnectionPool::TakeIdle() {
  if (idle_.empty()) {
    return std::nullopt;
  }
  ConnectionId connection = std::move(idle_.back());
  idle_.pop_back();
  return connection;
}

bool ConnectionPool::TryBeginOpen() {
  if (CountOpen() >= limit_) {
    return false;
  }
  ++opening_count_;
  return true;
}

void ConnectionPool::RecordOpened() {
  assert(opening_count_ > 0);
  --opening_count_;
  ++open_count_;
}

void ConnectionPool::RecordOpenFailure() {
  assert(opening_count_ > 0);
  --opening_count_;
}

void ConnectionPool::PutIdle(ConnectionId connection) {
  assert(static_cast<int64_t>(idle_.size()) < open_count_);
  idle_.push_back(std::move(connection));
}

void ConnectionPool::RecordClosed() {
  assert(open_count_ > 0);
  --open_count_;
}

std::vector<ConnectionId> ConnectionPool::TakeAllIdle() {
  open_count_ -= static_cast<int64_t>(idle_.size());
  return std::exchange(idle_, {});
}

}  // namespace magnoliareel
