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

/** The table that names the holder of each service's failover duty. */
inline constexpr std::string_view kDutyTable = "magnoliareel-duties";

/** Claims failover duties by conditional writes.

    The version that a claim's write receives is the fencing token: the store
    gives every version once, and each holder's is above its predecessor's.

    @tparam S  @see RowStore
*/
template <RowStore S>
class DutyClaims {
 public:
  /** Told of a claim's end: the fencing token, or why there is none. */
  using Completion = std::function<void(std::error_code, uint64_t token)>;

  /** @param store  outlives the claims
      @param vm     this VM's name
  */
  DutyClaims(S& store, std::string_view vm) : store_(store), vm_(vm) {}

  /** Takes a service's duty over, whoever holds it.

      @param service  the service
      @param done     Error::kVersionConflict if another VM was faster
  */
  void Claim(const ServiceId& service, Completion done) {
    // The row is read first: its version is the condition of the write.
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

  /** @param service  a service
      @returns         the token of this VM's claim; 0 if it holds none
  */
  uint64_t GetToken(const ServiceId& service) const {
    const auto it = tokens_.find(service);
    return it == tokens_.end() ? 0 : it->second;
  }

  /** Forgets a claim that a newer one has replaced.

      @param service  the service
  */
  void Forget(const ServiceId& service) { tokens_.erase(service); }

  /** @returns every duty that this VM holds, with its token */
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
