#ifndef MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_FAULTS_H_
#define MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_FAULTS_H_

#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel::standin {

/** Faults and delays of a stand-in endpoint; they can be changed at run
    time. */
struct EndpointFaults {
  /** Leaves every call unanswered and sends none. */
  bool is_cut = false;
  /** Neither answers replication calls nor sends any. */
  bool is_replication_cut = false;
  /** Reports that the endpoint is leaving the group. */
  bool is_leaving = false;
  /** Number of further writes and commits whose answers are dropped after they
      took effect. */
  int64_t answers_to_lose = 0;
  /** Number of further answers to statements that are delayed by
      answer_delay. */
  int64_t answers_to_delay = 0;
  /** Number of further answers to statements that are swapped in pairs: each
      of two requests gets the answer to the other. */
  int64_t answers_to_swap = 0;
  /** Delay of the answers counted by answers_to_delay. */
  Duration answer_delay{0};
  /** Delay before a replica applies what the primary answered. */
  Duration lag{0};
  /** Delay added to each answer. */
  Duration latency{0};
};

/** Parses a message and changes the faults that it names.

    @param body      JSON: cut, replication_cut, leaving, lose_answers,
                     swap_answers, delay_answers, delay_ms, lag_ms, latency_ms
    @param faults    receives the changes; unchanged after a finding
    @param findings  receives the errors in the message
*/
void ParseEndpointFaults(std::string_view body,
                         EndpointFaults& faults,
                         Findings& findings);

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_FAULTS_H_
