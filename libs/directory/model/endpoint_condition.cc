#include "directory/model/endpoint_condition.h"

namespace magnoliareel {

std::string_view GetConditionName(EndpointCondition condition) {
  switch (condition) {
    case EndpointCondition::kAnswering:
      return "answering";
    case EndpointCondition::kUnreachable:
      return "unreachable";
    case EndpointCondition::kSilent:
      return "silent";
    case EndpointCondition::kCommitsStalled:
      return "commits_stalled";
    case EndpointCondition::kRefusedAsReplica:
      return "not_leading";
  }
  return "answering";
}

}  // namespace magnoliareel
