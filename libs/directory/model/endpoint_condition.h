#ifndef MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_CONDITION_H_
#define MAGNOLIAREEL_DIRECTORY_MODEL_ENDPOINT_CONDITION_H_

#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** Condition of an endpoint as a VM observes it. */
enum class EndpointCondition {
  /** The endpoint answers. */
  kAnswering,
  /** A connection was refused or reset, or could not be opened in time. */
  kUnreachable,
  /** The endpoint has not answered for some time although statements are
      running. */
  kSilent,
  /** The endpoint answers statements but not commits. */
  kCommitsStalled,
  /** The endpoint refused work because it is not the primary. */
  kRefusedAsReplica,
};

/** @param condition  the condition
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
