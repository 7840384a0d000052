#ifndef MAGNOLIAREEL_COORDINATION_DUTIES_DUTY_CLAIMS_H_
#define MAGNOLIAREEL_COORDINATION_DUTIES_DUTY_CLAIMS_H_

#include <cassert>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/duties/duty_row.h"
#include "coordination/rows/row_store.h"
#include "core/core.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** Table with the holder of each service's failover duty, and what that holder
    knows of the service's endpoints. */
inline constexpr std::string_view kDutyTable = "magnoliareel-duties";

/** Claims failover duties by conditional writes, and keeps the GroupRecord of
    each claimed service in the duty's row.

    The version that the store assigns to a claim's write is the fencing token.
    Versions grow, also when the store is restored from a copy, so each holder's
    token is higher than its predecessor's.

    A claim reads the record of the previous holder and writes it again under
    the condition that the row has not changed, so a claim that succeeds is
    never based on an outdated record.

    @tparam S  @see RowStore
    @tparam R  @see DutyRowCodec
*/
template <RowStore S, DutyRowCodec R>
class DutyClaims {
 public:
  /** Called with the result of a claim: the fencing token and the record of the
      previous holder, or an error. */
  using ClaimCompletion = std::function<
      void(std::error_code, uint64_t token, const GroupRecord& previous)>;
  /** Returns the record to write with a claim, given that of the previous
      holder. */
  using RecordMerge = std::function<GroupRecord(const GroupRecord& previous)>;
  /** Called with the result of a write of a record. */
  using SaveCompletion = std::function<void(std::error_code)>;

  /** @param store  must outlive this object
      @param vm     name of this VM
  */
  DutyClaims(S& store, VmId vm) : store_(store), vm_(std::move(vm)) {}

  /** Claims a service's duty, even if another VM holds it.

      @param service  the service
      @param merge    returns the record to write
      @param done     receives the token and the previous record, or
                      Error::kVersionConflict if another VM claimed the duty at
                      the same time
  */
  void Claim(const ServiceId& service,
             RecordMerge merge,
             ClaimCompletion done) {
    // Reads the row first, as its version is the condition of the write.
    ReadRow(service,
            [this, service, merge = std::move(merge), done = std::move(done)](
                std::error_code ec, uint64_t version, const DutyRow& row) {
              if (ec) {
                done(ec, 0, {});
                return;
              }
              WriteClaim(service, version, merge(row.group), row.group, done);
            });
  }

  /** Writes a service's record, unless another VM has claimed the duty.

      @param service  a service whose duty this VM holds
      @param group    the record
      @param done     receives success; Error::kSuperseded if another VM has
                      claimed the duty, which is then not held here any more; or
                      another error, after which the write may be repeated
  */
  void Save(const ServiceId& service, GroupRecord group, SaveCompletion done) {
    assert(claims_.contains(service));
    const uint64_t version = claims_[service].row_version;
    const uint64_t token = claims_[service].token;
    std::string value = R::Encode({vm_, group});
    store_.WriteIf(
        kDutyTable, service.value, value, version,
        [this, service, token, group = std::move(group),
         done = std::move(done)](std::error_code ec, const StoredRows& answer) {
          const auto it = claims_.find(service);
          if (it == claims_.end() || it->second.token != token) {
            done(Error::kSuperseded);
          } else if (ec == Error::kVersionConflict) {
            // An earlier write of this VM may have been executed without an
            // answer.
            RefreshRowVersion(service, token, done);
          } else if (ec) {
            done(ec);
          } else {
            it->second.row_version = answer.version;
            it->second.saved = group;
            done({});
          }
        });
  }

  /** Reads the row of a duty that this VM holds.

      @param service  the service
      @param done     receives success; Error::kSuperseded if another VM has
                      claimed the duty, which is then not held here any more; or
                      the error of the read
  */
  void Verify(const ServiceId& service, SaveCompletion done) {
    ReadRow(service,
            [this, service, token = GetToken(service), done = std::move(done)](
                std::error_code ec, uint64_t version, const DutyRow& row) {
              if (GetToken(service) != token || token == 0) {
                done(Error::kSuperseded);
              } else if (ec) {
                done(ec);
              } else if (version != 0 && row.holder != vm_) {
                Forget(service);
                done(Error::kSuperseded);
              } else {
                done({});
              }
            });
  }

  /** @param service  the service
      @returns         the token of this VM's claim, or 0 if it has none
  */
  uint64_t GetToken(const ServiceId& service) const {
    const auto it = claims_.find(service);
    return it == claims_.end() ? 0 : it->second.token;
  }

  /** @param service  a service whose duty this VM holds
      @returns        whether another VM, or an earlier process of this one, may
                      have held it before this VM's latest claim
  */
  bool IsTakenOver(const ServiceId& service) const {
    const auto it = claims_.find(service);
    return it != claims_.end() && it->second.is_taken_over;
  }

  /** @param service  the service
      @param group    a record
      @returns        whether the row of a duty that this VM holds is known to
                      hold the record
  */
  bool IsSaved(const ServiceId& service, const GroupRecord& group) const {
    const auto it = claims_.find(service);
    return it != claims_.end() && it->second.saved == group;
  }

  /** Assumes that no row is as this VM has written it, because the store was
      restored from a copy. */
  void HandleStoreRestored() {
    for (auto& [service, claim] : claims_) {
      claim.saved.reset();
      // The store may have given the version of that write out again.
      claim.row_version = 0;
    }
    former_versions_.clear();
  }

  /** Drops this VM's claim. It is not released in the store.

      Used if a newer claim has replaced it, or if its token must not be used
      again.

      @param service  the service
  */
  void Forget(const ServiceId& service) {
    if (const auto node = claims_.extract(service)) {
      former_versions_[service] = node.mapped().row_version;
    }
  }

  /** @returns the duties that this VM holds with their tokens, ordered by
               service */
  std::vector<std::pair<ServiceId, uint64_t>> List() const {
    std::vector<std::pair<ServiceId, uint64_t>> list;
    for (const auto& [service, claim] : claims_) {
      list.emplace_back(service, claim.token);
    }
    return list;
  }

 private:
  struct HeldClaim {
    uint64_t token = 0;
    /** Version of the row at this VM's latest write. */
    uint64_t row_version = 0;
    /** The record in the row; none if it is not known. */
    std::optional<GroupRecord> saved;
    /** @see IsTakenOver() */
    bool is_taken_over = false;
  };
  /** Called with the row and its version; the version is 0 if there is none. */
  using RowCompletion =
      std::function<void(std::error_code, uint64_t version, const DutyRow&)>;

  void ReadRow(const ServiceId& service, RowCompletion done) {
    store_.Get(
        kDutyTable, service.value,
        [service, done = std::move(done)](std::error_code ec,
                                          const StoredRows& answer) {
          DutyRow row;
          if (ec || answer.rows.empty()) {
            done(ec, 0, row);
            return;
          }
          const StoredRow& stored = answer.rows.front();
          if (!R::Decode(stored.value, row)) {
            LogEvent(Event::kDutyRowRejected, {{"service", service.value}});
            row = {};
          }
          done({}, stored.version, row);
        });
  }

  void WriteClaim(const ServiceId& service,
                  uint64_t version,
                  GroupRecord group,
                  const GroupRecord& previous,
                  const ClaimCompletion& done) {
    std::string value = R::Encode({vm_, group});
    const bool is_taken_over =
        version != 0 && version != GetRowVersion(service);
    store_.WriteIf(
        kDutyTable, service.value, value, version,
        [this, service, group = std::move(group), previous, is_taken_over,
         done](std::error_code ec, const StoredRows& answer) {
          if (ec) {
            done(ec, 0, {});
            return;
          }
          claims_[service] = {answer.version, answer.version, group,
                              is_taken_over};
          LogEvent(Event::kDutyClaimed,
                   {{"service", service.value},
                    {"fencing_token", std::to_string(answer.version)}});
          done({}, answer.version, previous);
        });
  }

  /** @returns version of the row at this VM's latest write; 0 for none */
  uint64_t GetRowVersion(const ServiceId& service) const {
    if (const auto it = claims_.find(service); it != claims_.end()) {
      return it->second.row_version;
    }
    const auto it = former_versions_.find(service);
    return it == former_versions_.end() ? 0 : it->second;
  }

  void RefreshRowVersion(const ServiceId& service,
                         uint64_t token,
                         const SaveCompletion& done) {
    ReadRow(service,
            [this, service, token, done](std::error_code ec, uint64_t version,
                                         const DutyRow& row) {
              const auto it = claims_.find(service);
              if (it == claims_.end() || it->second.token != token) {
                done(Error::kSuperseded);
              } else if (ec) {
                done(ec);
              } else if (row.holder != vm_) {
                claims_.erase(it);
                done(Error::kSuperseded);
              } else {
                it->second.row_version = version;
                it->second.saved = row.group;
                done(Error::kVersionConflict);
              }
            });
  }

  S& store_;
  const VmId vm_;
  std::map<ServiceId, HeldClaim> claims_;
  /** HeldClaim::row_version of the claims that were dropped. */
  std::map<ServiceId, uint64_t> former_versions_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_COORDINATION_DUTIES_DUTY_CLAIMS_H_
