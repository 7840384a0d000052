#ifndef MAGNOLIAREEL_POOL_CONNECTIONS_CONNECTION_POOL_H_
#define MAGNOLIAREEL_POOL_CONNECTIONS_CONNECTION_POOL_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** Enforces the connection limit of one endpoint and stores its idle
    connections.

    The pool doesn't do I/O: its user opens and closes connections and reports
    the results.
*/
class ConnectionPool {
 public:
  /** @param limit  maximum number of connections that are open or being
                    opened */
  explicit ConnectionPool(int64_t limit) : limit_(limit) {}

  /** Changes the limit. Connections above a lower limit stay open.

      @param limit  new maximum number of connections
  */
  void SetLimit(int64_t limit) { limit_ = limit; }

  /** Takes an idle connection into use.

      @returns  the most recently used idle connection, or nullopt if there is
                none
  */
  std::optional<ConnectionId> TakeIdle();

  /** Reserves a connection that the user is about to open.

      @returns  false if the limit is reached
  */
  bool TryBeginOpen();
  /** Records that a reserved connection was opened and is in use. */
  void RecordOpened();
  /** Records that a reserved connection could not be opened. */
  void RecordOpenFailure();
  /** Returns a connection from use to the pool.

      @param connection  the connection, idle from now on
  */
  void PutIdle(ConnectionId connection);
  /** Records that a connection in use was lost or closed. */
  void RecordClosed();
  /** Removes all idle connections, for example after a change of term.

      @returns  the removed connections, which the user must close
  */
  std::vector<ConnectionId> TakeAllIdle();

  /** @returns number of idle connections */
  size_t CountIdle() const { return idle_.size(); }
  /** @returns number of connections that are open or being opened */
  int64_t CountOpen() const { return opening_count_ + open_count_; }
  /** @returns number of connections being opened */
  int64_t CountOpening() const { return opening_count_; }

 private:
  int64_t limit_;
  int64_t opening_count_ = 0;
  int64_t open_count_ = 0;
  std::vector<ConnectionId> idle_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_POOL_CONNECTIONS_CONNECTION_POOL_H_
