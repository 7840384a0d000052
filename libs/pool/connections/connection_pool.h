#ifndef MAGNOLIAREEL_POOL_CONNECTIONS_CONNECTION_POOL_H_
#define MAGNOLIAREEL_POOL_CONNECTIONS_CONNECTION_POOL_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** Counts the connections of one endpoint and keeps the idle ones.

    It decides and does not connect: the caller reports what happened.
*/
class ConnectionPool {
 public:
  /** @param limit  most connections open or being opened at a time */
  explicit ConnectionPool(int64_t limit) : limit_(limit) {}

  /** Changes the limit. @param limit  most connections from now on */
  void SetLimit(int64_t limit) { limit_ = limit; }

  /** @returns the idle connection used last, now in use; nothing if none */
  std::optional<ConnectionId> TakeIdle();

  /** Begins to open a connection.

      @returns  false if the limit is reached
  */
  bool TryBeginOpen();
  /** Notes that an opening succeeded; the connection is in use. */
  void RecordOpened();
  /** Notes that an opening failed. */
  void RecordOpenFailure();
  /** Returns a connection in use. @param connection  now idle */
  void PutIdle(ConnectionId connection);
  /** Notes that a connection in use is lost or closed. */
  void RecordClosed();
  /** Forgets every idle connection, as after a change of term.

      @returns  the connections to close
  */
  std::vector<ConnectionId> TakeAllIdle();

  /** @returns idle connections */
  size_t CountIdle() const { return idle_.size(); }
  /** @returns connections open or being opened */
  int64_t CountOpen() const { return opening_ + open_; }
  /** @returns connections being opened */
  int64_t CountOpening() const { return opening_; }

 private:
  int64_t limit_;
  int64_t opening_ = 0;
  int64_t open_ = 0;
  std::vector<ConnectionId> idle_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_CONNECTIONS_CONNECTION_POOL_H_
