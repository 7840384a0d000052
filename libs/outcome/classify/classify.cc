#include "outcome/classify/classify.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace magnoliareel {
namespace {

/** Refusals after which another endpoint or owner may accept the request. */
constexpr std::array kTryNextErrors = {
    Error::kNotPrimary,   Error::kReplicaBehind,   Error::kEndpointLeaving,
    Error::kShuttingDown, Error::kUnknownEndpoint, Error::kUnreachable,
    Error::kStaleTerm,    Error::kConnectionLost,
};
/** Refusals after which the same request may succeed later. */
constexpr std::array kRetryLaterErrors = {
    Error::kNoPrimary,
    Error::kTooManyConnections,
    Error::kNoDocument,
};

template <class List>
bool IsOneOf(const std::error_code& ec, const List& list) {
  return std::any_of(list.begin(), list.end(),
                     [&ec](Error error) { return ec == error; });
}

}  // namespace

Outcome ClassifyCall(const CallResult& result) {
  if (result.transport) {
    return result.transport == Error::kUnreachable ? Outcome::kNotRun
                                                   : Outcome::kUnknown;
  }
  if (!result.answer) {
    return Outcome::kDone;
  }
  return result.answer == Error::kStatementFailed ? Outcome::kFailed
                                                  : Outcome::kNotRun;
}

NextStep ChooseNextStep(Outcome outcome,
                        const std::error_code& ec,
                        Repeatability repeatability) {
  assert(outcome != Outcome::kDone);
  if (outcome == Outcome::kUnknown) {
    return repeatability == Repeatability::kSafe ? NextStep::kRetryLater
                                                 : NextStep::kSettle;
  }
  if (outcome == Outcome::kFailed) {
    return NextStep::kAnswer;
  }
  if (IsOneOf(ec, kTryNextErrors)) {
    return NextStep::kTryNext;
  }
  return IsOneOf(ec, kRetryLaterErrors) ? NextStep::kRetryLater
                                        : NextStep::kAnswer;
}

}  // namespace magnoliareel
