#include "document/checks/check_document.h"

#include <set>
#include <string>
#include <string_view>

namespace magnoliareel {
namespace {

constexpr size_t kSha256HexDigits = 64;

/** Reports duplicate names among objects of one kind. */
class UniqueNameChecker {
 public:
  explicit UniqueNameChecker(Findings& findings) : findings_(findings) {}

  void Add(const std::string& name, const std::string& pointer) {
    if (!names_.insert(name).second) {
      findings_.Add(pointer, Error::kDuplicateName,
                    "'" + name + "' is already used; choose another name");
    }
  }

 private:
  Findings& findings_;
  std::set<std::string> names_;
};

void CheckEndpoint(const EndpointConfig& endpoint,
                   const std::string& pointer,
                   Findings& findings) {
  if (endpoint.slots > endpoint.connections) {
    findings.Add(pointer + "/slots", Error::kOutOfRange,
                 "must not exceed connections (" +
                     std::to_string(endpoint.connections) + ")");
  }
}

void CheckGroups(const Document& document, Findings& findings) {
  UniqueNameChecker groups(findings);
  UniqueNameChecker endpoints(findings);
  for (size_t s = 0; s < document.services.size(); ++s) {
    const ServiceConfig& service = document.services[s];
    for (size_t g = 0; g < service.groups.size(); ++g) {
      const GroupConfig& group = service.groups[g];
      const std::string pointer =
          "/services/" + std::to_string(s) + "/groups/" + std::to_string(g);
      groups.Add(group.group.value, pointer + "/name");
      if (group.endpoints.size() < 3) {
        findings.Add(pointer + "/endpoints", Error::kOutOfRange,
                     "a group needs at least 3 endpoints to survive the loss "
                     "of one; add " +
                         std::to_string(3 - group.endpoints.size()));
      }
      for (size_t e = 0; e < group.endpoints.size(); ++e) {
        const std::string endpoint_pointer =
            pointer + "/endpoints/" + std::to_string(e);
        endpoints.Add(group.endpoints[e].endpoint.value,
                      endpoint_pointer + "/name");
        CheckEndpoint(group.endpoints[e], endpoint_pointer, findings);
      }
    }
  }
}

void CheckServices(const Document& document, Findings& findings) {
  UniqueNameChecker services(findings);
  for (size_t s = 0; s < document.services.size(); ++s) {
    const ServiceConfig& service = document.services[s];
    const std::string pointer = "/services/" + std::to_string(s);
    services.Add(service.service.value, pointer + "/name");
    if (service.groups.empty()) {
      findings.Add(pointer + "/groups", Error::kOutOfRange,
                   "a service needs at least one group");
    }
    if (service.default_deadline > service.max_deadline) {
      findings.Add(pointer + "/default_deadline_ms", Error::kOutOfRange,
                   "must not exceed max_deadline_ms");
    }
  }
}

// An endpoint records a request under "caller/request", and callers choose the
// ids of their requests.
void CheckRecordNames(const Document& document, Findings& findings) {
  std::set<std::string_view> names;
  for (const CallerConfig& it : document.callers) {
    names.insert(it.caller.value);
  }
  for (size_t c = 0; c < document.callers.size(); ++c) {
    const std::string_view name = document.callers[c].caller.value;
    for (size_t slash = name.find('/'); slash != std::string_view::npos;
         slash = name.find('/', slash + 1)) {
      const std::string_view prefix = name.substr(0, slash);
      if (names.contains(prefix)) {
        findings.Add("/callers/" + std::to_string(c) + "/name",
                     Error::kDuplicateName,
                     "requests of '" + std::string(prefix) +
                         "' could be taken for those of this caller; choose "
                         "another name");
      }
    }
  }
}

void CheckCallers(const Document& document, Findings& findings) {
  CheckRecordNames(document, findings);
  UniqueNameChecker callers(findings);
  for (size_t c = 0; c < document.callers.size(); ++c) {
    const CallerConfig& caller = document.callers[c];
    const std::string pointer = "/callers/" + std::to_string(c);
    callers.Add(caller.caller.value, pointer + "/name");
    for (size_t n = 0; n < caller.key_hashes.size(); ++n) {
      const std::string& hash = caller.key_hashes[n];
      if (hash.size() != kSha256HexDigits ||
          hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
        findings.Add(
            pointer + "/key_hashes/" + std::to_string(n), Error::kOutOfRange,
            "must be 64 lower-case hex digits, the SHA-256 of the key");
      }
    }
    for (size_t n = 0; n < caller.services.size(); ++n) {
      if (document.FindService(caller.services[n]) == nullptr) {
        findings.Add(pointer + "/services/" + std::to_string(n),
                     Error::kUnknownName,
                     "no service is named '" + caller.services[n].value + "'");
      }
    }
  }
}

}  // namespace

void CheckDocument(const Document& document, Findings& findings) {
  CheckServices(document, findings);
  CheckGroups(document, findings);
  CheckCallers(document, findings);
}

}  // namespace magnoliareel
