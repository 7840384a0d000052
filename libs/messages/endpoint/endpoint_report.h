#ifndef MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_REPORT_H_
#define MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_REPORT_H_

#include "core/core.h"
#include "messages/endpoint/lineage.h"

namespace magnoliareel {

/** Role of an endpoint in its group. */
enum class EndpointRole { kReplica, kPrimary };

/** Replication state that an endpoint reports with every answer. */
struct EndpointReport {
  /** Current role. */
  EndpointRole role = EndpointRole::kReplica;
  /** Highest term that the endpoint has adopted; it rejects older terms. */
  Term term;
  /** Term and position of the last record in the log. */
  LogPoint last;
  /** Terms in the log's history. The last entry is the term in which the
      endpoint is the primary or its log is aligned with the primary's. */
  Lineage lineage;
  /** True if the endpoint is leaving and should get no new work. */
  bool is_leaving = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_REPORT_H_
