#ifndef MAGNOLIAREEL_COORDINATION_DUTIES_DUTY_CLAIMS_H_
#define MAGNOLIAREEL_COORDINATION_DUTIES_DUTY_CLAIMS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "coordination/rows/row_store.h"
#include "core/core.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Table with the holder of each service's failover duty. */
inline constexpr std::string_view kDutyTable = "magnoliareel-duties";

/** Claims failover duties by conditional writes.

    The version that the store assigns to a claim's write is the fencing token.
    Versions grow, also when the store is restored from a copy, so each holder's
    token is higher than its predecessor's.

    @tparam S  @see RowStore
*/
template <RowStore S>
class DutyClaims {
 public:
  /** Called with the result of a claim: the fencing token, or an error. */
  using Completion = std::function<void(std::error_code, uint64_t token)>;

  /** @param store  must outlive this object
      @param vm     name of this VM
  */
  DutyClaims(S& store, std::string_view vm) : store_(store), vm_(vm) {}

  /** Claims a service's duty, even if another VM holds it.

      @param service  the service
      @param done     receives the token, or Error::kVersionConflict if another
                      VM claimed the duty at the same time
  */
  void Claim(const ServiceId& service, Completion done) {
    // Reads the row first, as its version is the condition of the write.
    store_.Get(kDutyTable, service.value,
               [this, service, done = std::move(done)](std::error_code ec,
                                                       StoredRows answer) {
                 if (ec) {
                   done(ec, 0);
                   return;
                 }
                 Write(service,
                       answer.rows.empty() ? 0 : answer.rows.front().version,
                       done);
               });
  }

  /** @param service  the service
      @returns         the token of this VM's claim, or 0 if it has none
  */
  uint64_t GetToken(const ServiceId& service) const {
    const auto it = tokens_.find(service);
    return it == tokens_.end() ? 0 : it->second;
  }

  /** Drops this VM's claim. It is not released in the store.

      Used if a newer claim has replaced it, or if its token must not be used
      again.

      @param service  the service
  */
  void Forget(const ServiceId& service) { tokens_.erase(service); }

  /** @returns the tokens of all duties that this VM holds, by service */
  const std::map<ServiceId, uint64_t>& List() const { return tokens_; }

 private:
  void Write(const ServiceId& service, uint64_t version, Completion done) {
    store_.WriteIf(kDutyTable, service.value, vm_, version,
                   [this, service, done = std::move(done)](std::error_code ec,
                                                           StoredRows answer) {
                     if (ec) {
                       done(ec, 0);
                       return;
                     }
                     tokens_[service] = answer.version;
                     LogEvent(
                         Event::kDutyClaimed,
                         {{"service", service.value},
                          {"fencing_token", std::to_string(answer.version)}});
                     done({}, answer.version);
                   });
  }

  S& store_;
  const std::string vm_;
  std::map<ServiceId, uint64_t> tokens_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_COORDINATION_DUTIES_DUTY_CLAIMS_H_
