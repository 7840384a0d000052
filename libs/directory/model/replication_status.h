#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_REPLICATION_STATUS_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_REPLICATION_STATUS_H_

#include "core/core.h"

namespace magnoliareel {

/** What an endpoint reports of its place in its service's replication. */
struct ReplicationStatus {
  bool is_primary = false;
  /** Newest term that it knows. */
  Term term;
  /** End of the log that it has received, which may be ahead of what it has
      applied. */
  LogPoint received;
  /** Term at which it was told to receive nothing further; 0 if it receives. */
  Term paused_at;
  /** How far its applied state is behind. */
  Duration lag{};
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_MODEL_REPLICATION_STATUS_H_
