#include "entry/flows/admit_request.h"

#include <algorithm>
#include <utility>

#include "routing/routing.h"

namespace magnoliareel {
namespace {

std::error_code CheckCaller(const CallerRequest& request,
                            const Document& document) {
  const CallerShape* caller = document.FindCaller(request.caller);
  if (caller == nullptr) {
    return Error::kUnknownCaller;
  }
  return IsKeyKnown(request.key, caller->key_hashes) ? std::error_code()
                                                     : Error::kBadKey;
}

std::error_code CheckService(const CallerId& caller,
                             const ServiceId& service,
                             const Document& document) {
  if (document.FindService(service) == nullptr) {
    return Error::kUnknownService;
  }
  const auto& allowed = document.FindCaller(caller)->services;
  const bool is_allowed =
      std::find(allowed.begin(), allowed.end(), service) != allowed.end();
  return is_allowed ? std::error_code() : Error::kNotAllowed;
}

std::error_code OpenToken(const CallerRequest& request,
                          const TokenSealer& sealer,
                          SessionToken& out) {
  if (request.verb == CallerVerb::kOpenSession) {
    out.session.value = MakeRandomId();
    out.caller = request.caller;
    out.service = request.service;
    return {};
  }
  std::optional<SessionToken> token = sealer.Open(request.token);
  if (!token || token->caller != request.caller) {
    return Error::kForgedToken;
  }
  out = std::move(*token);
  return {};
}

std::error_code CheckTransaction(CallerVerb verb, const SessionToken& token) {
  if (verb == CallerVerb::kBegin && token.transaction) {
    return Error::kTransactionOpen;
  }
  const bool is_end =
      verb == CallerVerb::kCommit || verb == CallerVerb::kRollback;
  return is_end && !token.transaction ? make_error_code(Error::kNoTransaction)
                                      : std::error_code();
}

void SetDeadline(CallerRequest& request,
                 const ServiceShape& service,
                 Findings& findings) {
  if (request.deadline == Duration::zero()) {
    request.deadline = service.default_deadline;
  } else if (request.deadline > service.max_deadline) {
    findings.Add("/deadline_ms", Error::kOutOfRange,
                 "exceeds the service's max_deadline_ms");
  }
}

bool IsInTransaction(CallerVerb verb) {
  return verb == CallerVerb::kRead || verb == CallerVerb::kWrite ||
         verb == CallerVerb::kCommit || verb == CallerVerb::kRollback;
}

const GroupShape* FindGroup(const CallerRequest& request,
                            const SessionToken& token,
                            const Document& document,
                            Findings& findings) {
  const ServiceShape& service = *document.FindService(token.service);
  const GroupShape* by_key = &ChooseGroup(service, request.record_key);
  if (!token.transaction || !IsInTransaction(request.verb)) {
    return by_key;
  }
  const GroupShape* group = document.FindGroup(token.transaction->group);
  if (!request.record_key.empty() && by_key != group) {
    findings.Add("/record", Error::kOutOfRange,
                 "belongs to another group than the open transaction");
  }
  return group;
}

}  // namespace

std::error_code AdmitRequest(CallerRequest request,
                             const Deployment& deployment,
                             const TokenSealer& sealer,
                             AdmittedRequest& out,
                             Findings& findings) {
  const Document& document = deployment.document;
  if (deployment.version == 0) {
    return Error::kNoDocument;
  }
  if (const auto ec = CheckCaller(request, document)) {
    return ec;
  }
  if (const auto ec = OpenToken(request, sealer, out.token)) {
    return ec;
  }
  if (const auto ec =
          CheckService(request.caller, out.token.service, document)) {
    return ec;
  }
  if (const auto ec = CheckTransaction(request.verb, out.token)) {
    return ec;
  }
  SetDeadline(request, *document.FindService(out.token.service), findings);
  if (request.verb != CallerVerb::kOpenSession) {
    out.group = FindGroup(request, out.token, document, findings);
    if (out.group == nullptr) {
      return Error::kTransactionLost;
    }
  }
  out.request = std::move(request);
  return findings.IsEmpty() ? std::error_code()
                            : findings.GetList().front().code;
}

}  // namespace magnoliareel
