#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_CONDITION_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_CONDITION_H_

#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** What a VM notices of an endpoint. */
enum class EndpointCondition {
  /** It answers. */
  kAnswering,
  /** A connection was refused, reset, or could not be opened in time. */
  kUnreachable,
  /** It has answered nothing for a while although statements run. */
  kSilent,
  /** Statements are answered, commits are not. */
  kCommitsStalled,
  /** It refused as it does not lead. */
  kRefusedAsReplica,
};

/** @param condition  any
    @returns           its name in logs
*/
std::string_view GetConditionName(EndpointCondition condition);

/** An observation of an endpoint. */
struct ConditionReport {
  EndpointId endpoint;
  EndpointCondition condition = EndpointCondition::kAnswering;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_CONDITION_H_
