#ifndef MAGNOLIAREEL_RELAY_PRIMARIES_PRIMARY_TRACKER_H_
#define MAGNOLIAREEL_RELAY_PRIMARIES_PRIMARY_TRACKER_H_

#include <optional>
#include <span>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Which endpoint of one service is believed to be its primary.

    What an endpoint proves by accepting a plain transaction goes before what
    the control thread announces, and that before what endpoints claim of
    themselves in the directory. A belief is a hint: whatever depends on the
    lead is proven on the connection that is used.
*/
class PrimaryTracker {
 public:
  /** An endpoint that refused as "not primary" is asked again after this time
      at the earliest: a round trip between regions and a promotion's end. */
  static constexpr Duration kNotPrimaryRetryInterval =
      std::chrono::milliseconds(100);
  /** An announced leader is believed in for this long although it refuses: a
      promotion takes up to a second to come into force. */
  static constexpr Duration kPromotionGracePeriod =
      std::chrono::milliseconds(2000);

  /** An endpoint accepted what only a primary accepts.

      @param id    the endpoint
      @param term  the term of its log
      @returns     true if the belief changed
  */
  bool RecordConfirmed(const EndpointId& id, Term term);
  /** An endpoint refused because it does not lead.

      @param id   the endpoint
      @param now  the present moment
      @returns    true if the belief changed
  */
  bool RecordNotPrimary(const EndpointId& id, TimePoint now);
  /** A promotion was ordered.

      @param id   the endpoint that takes over
      @param now  the present moment
      @returns    true if the belief changed
  */
  bool RecordAnnouncedPromotion(const EndpointId& id, TimePoint now);
  /** Takes up what endpoints say of themselves, if nothing better is known.

      @param entries  the service's endpoints
      @param now      the present moment
      @returns        true if the belief changed
  */
  bool UpdateFromDirectory(std::span<const EndpointEntry* const> entries,
                           TimePoint now);

  /** @returns the endpoint, or null while none is believed in */
  const EndpointId* GetPrimary() const {
    return primary_ ? &*primary_ : nullptr;
  }
  /** @returns the newest term that was proven */
  Term GetTerm() const { return term_; }

 private:
  std::optional<EndpointId> primary_;
  Term term_;
  std::optional<EndpointId> announced_;
  TimePoint announced_at_;
  std::optional<EndpointId> not_primary_;
  TimePoint connection_not_primary_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_PRIMARIES_PRIMARY_TRACKER_H_
