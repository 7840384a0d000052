#include "directory/model/endpoint_condition.h"

namespace magnoliareel {

std::string_view ConditionName(EndpointCondition condition) {
  switch (condition) {
    case EndpointCondition::kAnswering:
      return "answering";
    case EndpointCondition::kUnreachable:
      return "unreachable";
    case EndpointCondition::kSilent:
      return "silent";
    case EndpointCondition::kCommitsStalled:
      return "commits_stalled";
    case EndpointCondition::kNotLeading:
      return "not_leading";
  }
  return "answering";
}

}  // namespace magnoliareel
