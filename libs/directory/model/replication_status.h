#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_REPLICATION_STATUS_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_REPLICATION_STATUS_H_

#include "core/core.h"

namespace magnoliareel {

/** Replication state that an endpoint reports. */
struct ReplicationStatus {
  bool is_primary = false;
  /** Newest term that the endpoint knows. */
  Term term;
  /** End of the log that the endpoint has received. It may be ahead of the
      applied state. */
  LogPoint received;
  /** Term of the pause command in force; 0 if the endpoint receives the log. */
  Term paused_at;
  /** Replica lag: how far the applied state is behind the primary. */
  Duration lag{};
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_MODEL_REPLICATION_STATUS_H_
