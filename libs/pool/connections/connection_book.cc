#include "pool/connections/connection_book.h"

#include <cassert>
#include <utility>

namespace magnoliareel {

std::optional<ConnectionId> ConnectionBook::TakeIdle() {
  if (idle_.empty()) {
    return std::nullopt;
  }
  ConnectionId connection = std::move(idle_.back());
  idle_.pop_back();
  return connection;
}

bool ConnectionBook::TryOpen() {
  if (CountOpen() >= limit_) {
    return false;
  }
  ++opening_;
  return true;
}

void ConnectionBook::NoteOpened() {
  assert(opening_ > 0);
  --opening_;
  ++open_;
}

void ConnectionBook::NoteOpenFailed() {
  assert(opening_ > 0);
  --opening_;
}

void ConnectionBook::PutIdle(ConnectionId connection) {
  assert(static_cast<int64_t>(idle_.size()) < open_);
  idle_.push_back(std::move(connection));
}

void ConnectionBook::NoteClosed() {
  assert(open_ > 0);
  --open_;
}

std::vector<ConnectionId> ConnectionBook::TakeAllIdle() {
  open_ -= static_cast<int64_t>(idle_.size());
  return std::exchange(idle_, {});
}

}  // namespace magnoliareel
