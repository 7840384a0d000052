#ifndef MAGNOLIAREEL_ENTRY_FLOWS_ADMIT_REQUEST_H_
#define MAGNOLIAREEL_ENTRY_FLOWS_ADMIT_REQUEST_H_

#include "core/core.h"
#include "membership/membership.h"
#include "messages/messages.h"
#include "seal/seal.h"
#include "session/session.h"

namespace magnoliareel {

/** A request that has passed all checks. */
struct AdmittedRequest {
  /** The request, with a non-zero deadline. */
  CallerRequest request;
  /** The opened session token; a new session for kOpenSession. */
  SessionToken token;
  /** The group that the request is routed to; nullptr for kOpenSession. */
  const GroupConfig* group = nullptr;
};

/** Checks the caller's key, the session token, and whether the request is valid
    in the session's state.

    @param request     the request
    @param deployment  the current deployment; `out.group` points into it
    @param sealer      opens session tokens
    @param out         receives the admitted request
    @param findings    receives errors of single fields
    @returns           the reason for the refusal; empty if the request is
                       admitted
*/
std::error_code AdmitRequest(CallerRequest request,
                             const Deployment& deployment,
                             const TokenSealer& sealer,
                             AdmittedRequest& out,
                             Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ENTRY_FLOWS_ADMIT_REQUEST_H_
