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

/** Names the process that asks for grants. */
struct GrantHolder {
  /** Its VM. */
  VmId vm;
  /** Differs for every start of the process. */
  std::string incarnation;
};

/** Adds a grant to a row.

    @param row      the row as read
    @param holder   who shall hold the new grant; its VM's older one is dropped
    @param drivers  VMs that may drive the group; grants of others are dropped
    @param least    the new term is higher than this and than all granted before
    @returns        the new row and the new term
*/
std::pair<GrantRow, Term> AddGrant(const GrantRow& row,
                                   const GrantHolder& holder,
                                   std::span<const VmId> drivers,
                                   Term least);

/** Keeps at most one granted term of one group in hand.

    @tparam S  the platform's table
*/
template <GrantStore S>
class GrantCache {
 public:
  /** @param store   the platform's table
      @param group   the group
      @param holder  this process
  */
  GrantCache(S& store, GroupId group, GrantHolder holder)
      : store_(store), group_(std::move(group)), holder_(std::move(holder)) {}

  /** @param highest  highest term known to be in use
      @returns        the term in hand if it is still higher */
  std::optional<Term> Peek(Term highest) const {
    return in_hand_ && *in_hand_ > highest ? in_hand_ : std::nullopt;
  }

  /** Uses up the term in hand, if it is still usable.

      @param highest  highest term known to be in use
      @returns        the term, never returned again
  */
  std::optional<Term> Take(Term highest) {
    const std::optional<Term> term = Peek(highest);
    in_hand_.reset();
    if (term) {
      used_ = *term;
    }
    return term;
  }

  /** Gets a term from the store unless one is in hand.

      @param drivers  VMs that may drive the group
      @param highest  highest term known to be in use
      @param done     receives the error, if any
  */
  void Refill(std::span<const VmId> drivers,
              Term highest,
              std::function<void(std::error_code)> done) {
    if (Peek(highest) || std::exchange(is_busy_, true)) {
      return;
    }
    store_.ReadGrants(group_,
                      [this, highest, done = std::move(done),
                       drivers = std::vector(drivers.begin(), drivers.end())](
                          const GrantReply& reply) mutable {
                        if (reply.ec) {
                          Finish(reply.ec, done);
                          return;
                        }
                        Claim(reply, drivers, highest, std::move(done));
                      });
  }

 private:
  void Claim(const GrantReply& read,
             std::span<const VmId> drivers,
             Term highest,
             std::function<void(std::error_code)> done) {
    // A write whose answer was lost shows up here as this process's grant.
    for (const TermGrant& it : read.row.grants) {
      const bool is_mine =
          it.vm == holder_.vm && it.incarnation == holder_.incarnation;
      if (is_mine && it.term > used_ && it.term > highest) {
        in_hand_ = it.term;
        Finish({}, done);
        return;
      }
    }
    const auto [row, term] =
        AddGrant(read.row, holder_, drivers, std::max(highest, used_));
    store_.WriteGrants(
        group_, read.version, row,
        [this, term = term, done = std::move(done)](const GrantReply& reply) {
          if (!reply.ec) {
            in_hand_ = term;
          }
          Finish(reply.ec, done);
        });
  }

  void Finish(std::error_code ec,
              const std::function<void(std::error_code)>& done) {
    is_busy_ = false;
    done(ec);
  }

  S& store_;
  const GroupId group_;
  const GrantHolder holder_;
  std::optional<Term> in_hand_;
  Term used_;
  bool is_busy_ = false;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_GRANTS_GRANT_CACHE_H_
