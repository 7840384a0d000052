#ifndef MAGNOLIAREEL_ENTRY_FLOWS_ADMIT_REQUEST_H_
#define MAGNOLIAREEL_ENTRY_FLOWS_ADMIT_REQUEST_H_

#include "core/core.h"
#include "membership/membership.h"
#include "messages/messages.h"
#include "seal/seal.h"
#include "session/session.h"

namespace magnoliareel {

/** A request that was found to be in order. */
struct AdmittedRequest {
  /** What is asked; its deadline is set. */
  CallerRequest request;
  /** The session; new for kOpenSession. */
  SessionToken token;
  /** The group that the request concerns; nullptr for kOpenSession. */
  const GroupConfig* group = nullptr;
};

/** Checks a request: the caller's key, the session token, and that the request
    fits the session.

    @param request     what is asked
    @param deployment  what is in force; `group` of the result points into it
    @param sealer      opens session tokens
    @param out         receives the admitted request
    @param findings    receives faults of single fields
    @returns           why it is refused; empty if it is admitted
*/
std::error_code AdmitRequest(CallerRequest request,
                             const Deployment& deployment,
                             const TokenSealer& sealer,
                             AdmittedRequest& out,
                             Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_FLOWS_ADMIT_REQUEST_H_
