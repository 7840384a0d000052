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
  ++opening_;
  return true;
}

void ConnectionPool::RecordOpened() {
  assert(opening_ > 0);
  --opening_;
  ++open_;
}

void ConnectionPool::RecordOpenFailure() {
  assert(opening_ > 0);
  --opening_;
}

void ConnectionPool::PutIdle(ConnectionId connection) {
  assert(static_cast<int64_t>(idle_.size()) < open_);
  idle_.push_back(std::move(connection));
}

void ConnectionPool::RecordClosed() {
  assert(open_ > 0);
  --open_;
}

std::vector<ConnectionId> ConnectionPool::TakeAllIdle() {
  open_ -= static_cast<int64_t>(idle_.size());
  return std::exchange(idle_, {});
}

}  // namespace magnoliareel
