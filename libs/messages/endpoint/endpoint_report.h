#ifndef MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_REPORT_H_
#define MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_REPORT_H_

#include "core/core.h"
#include "messages/endpoint/lineage.h"

namespace magnoliareel {

/** Part that an endpoint plays in its group. */
enum class EndpointRole { kReplica, kPrimary };

/** What an endpoint says of itself. */
struct EndpointReport {
  /** Its part at present. */
  EndpointRole role = EndpointRole::kReplica;
  /** Highest term it has adopted; it refuses older ones. */
  Term term;
  /** Term and position of its last record. */
  LogPoint last;
  /** Terms its log has passed through; the last one is the term whose primary
      it is or is aligned with. */
  Lineage lineage;
  /** Whether it is leaving. */
  bool is_leaving = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_ENDPOINT_ENDPOINT_REPORT_H_
