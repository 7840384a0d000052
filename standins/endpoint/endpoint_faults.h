#ifndef MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_FAULTS_H_
#define MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_FAULTS_H_

#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel::standin {

/** Faults and delays of a stand-in endpoint, changed while it runs. */
struct EndpointFaults {
  /** Neither hears nor answers anyone. */
  bool is_cut = false;
  /** Neither serves nor follows replication. */
  bool is_replication_cut = false;
  /** Reports that it is leaving. */
  bool is_leaving = false;
  /** Number of coming writes and commits whose answers are lost after their
      effect. */
  int64_t answers_to_lose = 0;
  /** Number of coming answers to be sent late. */
  int64_t answers_to_delay = 0;
  /** Number of coming answers to statements to be exchanged in pairs. */
  int64_t answers_to_swap = 0;
  /** How late these are. */
  Duration answer_delay{0};
  /** Time by which replication lags. */
  Duration lag{0};
  /** Time added to each answer. */
  Duration latency{0};
};

/** Changes the faults named in a message.

    @param body      JSON: cut, replication_cut, leaving, lose_answers,
                     swap_answers, delay_answers, delay_ms, lag_ms, latency_ms
    @param faults    receives the changes
    @param findings  receives the message's faults; nothing is changed then
*/
void ParseEndpointFaults(std::string_view body,
                         EndpointFaults& faults,
                         Findings& findings);

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_FAULTS_H_
