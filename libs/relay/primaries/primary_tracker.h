#ifndef MAGNOLIAREEL_RELAY_PRIMARIES_PRIMARY_TRACKER_H_
#define MAGNOLIAREEL_RELAY_PRIMARIES_PRIMARY_TRACKER_H_

#include <optional>
#include <span>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Tracks which endpoint of a service is presumably its primary.

    An endpoint that accepted a read-write transaction takes precedence over one
    whose promotion the control thread announced, and that one over the
    endpoints' own claims in the directory. A former primary leads on until the
    promotion takes effect; in kPromotionGracePeriod, only a newer term takes
    precedence over the announced endpoint. The result is a hint: a statement
    that requires the primary confirms the role on the connection that it
    uses.
*/
class PrimaryTracker {
 public:
  /** Minimum time before an endpoint that replied "not primary" is presumed
      primary again because of its claim: a round trip between regions and the
      end of a promotion. */
  static constexpr Duration kNotPrimaryRetryInterval =
      std::chrono::milliseconds(100);
  /** An announced primary is kept for this long although it replies "not
      primary": a promotion takes up to a second to take effect. */
  static constexpr Duration kPromotionGracePeriod =
      std::chrono::milliseconds(2000);

  /** Records that an endpoint accepted a request that only a primary accepts.

      @param id    the endpoint
      @param term  the term of its log
      @param now   the current time
      @returns     true if the presumed primary changed
  */
  bool RecordConfirmed(const EndpointId& id, Term term, TimePoint now);
  /** Records that an endpoint refused a request because it is not the primary.

      @param id   the endpoint
      @param now  the current time
      @returns    true if the presumed primary changed
  */
  bool RecordNotPrimary(const EndpointId& id, TimePoint now);
  /** Records that the promotion of an endpoint was announced.

      @param id   the endpoint that becomes primary
      @param now  the current time
      @returns    true if the presumed primary changed
  */
  bool RecordAnnouncedPromotion(const EndpointId& id, TimePoint now);
  /** Forgets a primary that is no longer listed, and uses the endpoints' own
      claims if no primary is known.

      @param entries  the service's endpoints
      @param now      the current time
      @returns        true if the presumed primary changed
  */
  bool UpdateFromDirectory(std::span<const EndpointEntry* const> entries,
                           TimePoint now);

  /** @returns the presumed primary, or null if none is known */
  const EndpointId* GetPrimary() const {
    return primary_ ? &*primary_ : nullptr;
  }
  /** @returns the newest term that an endpoint confirmed */
  Term GetTerm() const { return term_; }

 private:
  std::optional<EndpointId> primary_;
  Term term_;
  std::optional<EndpointId> announced_;
  TimePoint announced_at_;
  std::optional<EndpointId> not_primary_;
  TimePoint not_primary_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_PRIMARIES_PRIMARY_TRACKER_H_
