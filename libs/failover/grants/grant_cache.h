#ifndef MAGNOLIAREEL_FAILOVER_GRANTS_GRANT_CACHE_H_
#define MAGNOLIAREEL_FAILOVER_GRANTS_GRANT_CACHE_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "failover/grants/grant_store.h"

namespace magnoliareel {

/** Identifies the process that requests grants. */
struct GrantHolder {
  /** VM of the process. */
  VmId vm;
  /** Differs for every start of the process. */
  std::string incarnation;
};

/** Adds a grant to a row.

    @param row          the row as read from the store
    @param holder       process that receives the new grant; an older grant of
                        its VM is dropped
    @param drivers      VMs that may drive the group; grants of other VMs are
                        dropped
    @param lower_bound  the new term is higher than this term and than all terms
                        granted before
    @returns            the new row and the new term
*/
std::pair<GrantRow, Term> AddGrant(const GrantRow& row,
                                   const GrantHolder& holder,
                                   std::span<const VmId> drivers,
                                   Term lower_bound);

/** Caches at most one granted term of one group, so that the term can be
    obtained before a promotion needs it.

    @tparam S  store of the platform's table
*/
template <GrantStore S>
class GrantCache {
 public:
  /** @param store   store of the platform's table
      @param group   group whose terms are granted
      @param holder  this process
  */
  GrantCache(S& store, GroupId group, GrantHolder holder)
      : store_(store), group_(std::move(group)), holder_(std::move(holder)) {}

  /** Returns the cached term without using it.

      @param highest  highest term known to be in use
      @returns        the cached term if it is higher than `highest`
  */
  std::optional<Term> Peek(Term highest) const {
    return cached_ && *cached_ > highest ? cached_ : std::nullopt;
  }

  /** Takes the cached term out of the cache.

      @param highest  highest term known to be in use
      @returns        the term if it is higher than `highest`; no term is
                      returned twice
  */
  std::optional<Term> Take(Term highest) {
    const std::optional<Term> term = Peek(highest);
    cached_.reset();
    if (term) {
      last_taken_ = *term;
    }
    return term;
  }

  /** Obtains a term from the store. Does nothing, and does not invoke `done`,
      if a usable term is cached or a refill is in progress.

      @param drivers  VMs that may drive the group
      @param highest  highest term known to be in use
      @param done     receives the error, or an empty code on success
  */
  void Refill(std::span<const VmId> drivers,
              Term highest,
              std::function<void(std::error_code)> done) {
    if (Peek(highest) || std::exchange(is_refilling_, true)) {
      return;
    }
    store_.ReadGrants(group_,
                      [this, highest, done = std::move(done),
                       drivers = std::vector(drivers.begin(), drivers.end())](
                          const GrantReply& reply) mutable {
                        if (reply.ec) {
                          FinishRefill(reply.ec, done);
                          return;
                        }
                        ClaimTerm(reply, drivers, highest, std::move(done));
                      });
  }

 private:
  void ClaimTerm(const GrantReply& read,
                 std::span<const VmId> drivers,
                 Term highest,
                 std::function<void(std::error_code)> done) {
    // After a write whose answer was lost, the row already holds a grant for
    // this process.
    for (const TermGrant& it : read.row.grants) {
      const bool is_own =
          it.vm == holder_.vm && it.incarnation == holder_.incarnation;
      if (is_own && it.term > last_taken_ && it.term > highest) {
        cached_ = it.term;
        FinishRefill({}, done);
        return;
      }
    }
    const auto [row, term] =
        AddGrant(read.row, holder_, drivers, std::max(highest, last_taken_));
    store_.WriteGrants(
        group_, read.version, row,
        [this, term = term, done = std::move(done)](const GrantReply& reply) {
          if (!reply.ec) {
            cached_ = term;
          }
          FinishRefill(reply.ec, done);
        });
  }

  void FinishRefill(std::error_code ec,
                    const std::function<void(std::error_code)>& done) {
    is_refilling_ = false;
    done(ec);
  }

  S& store_;
  const GroupId group_;
  const GrantHolder holder_;
  std::optional<Term> cached_;
  Term last_taken_;
  bool is_refilling_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_GRANTS_GRANT_CACHE_H_
