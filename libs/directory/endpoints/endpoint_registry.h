#ifndef MAGNOLIAREEL_DIRECTORY_ENDPOINTS_ENDPOINT_REGISTRY_H_
#define MAGNOLIAREEL_DIRECTORY_ENDPOINTS_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "directory/model/endpoint_entry.h"

namespace magnoliareel {

/** An entry with the store's version of it. */
struct VersionedEntry {
  EndpointEntry entry;
  /** Version of the row; grows with every change of any row. */
  uint64_t row_version = 0;
};

/** The endpoints that this process knows.

    An entry that vanishes from the store may only have lapsed during an
    outage; it stays for a grace period and is removed if it does not return.

    @see EndpointEntry
*/
class EndpointRegistry {
 public:
  /** Live endpoints are listed again within two seconds of a store outage's
      end (users' letter); half a second covers delivery. */
  static constexpr Duration kRemovalGracePeriod =
      std::chrono::milliseconds(2500);

  /** Adds or changes an entry.

      @param entry  as read from the store or a peer
      @returns      true if anything changed
  */
  bool Put(const VersionedEntry& entry);

  /** Marks an entry as gone from the store; one that had announced its end
      has no grace.

      @param id           the endpoint
      @param row_version  version at which it vanished
      @param now          the present moment
  */
  void MarkRemoved(const EndpointId& id, uint64_t row_version, TimePoint now);

  /** Replaces everything by a complete listing; what the listing lacks
      vanishes.

      @param listing      all entries of the store
      @param row_version  version of the listing
      @param now          the present moment
      @returns            true if anything changed
  */
  bool Replace(std::span<const VersionedEntry> listing,
               uint64_t row_version,
               TimePoint now);

  /** Extends the grace of vanished entries while the store is unreachable.

      @param now  the present moment
  */
  void ExtendGracePeriods(TimePoint now);

  /** Removes entries whose grace has ended.

      @param now  the present moment
      @returns    the removed endpoints
  */
  std::vector<EndpointId> Sweep(TimePoint now);

  /** @returns the entries, ordered by id */
  std::vector<EndpointEntry> List() const;
  /** @param id  an endpoint
      @returns    its entry, or null
  */
  const EndpointEntry* Find(const EndpointId& id) const;

 private:
  struct State {
    VersionedEntry versioned;
    std::optional<TimePoint> remove_at;
  };

  std::map<EndpointId, State> entries_;
  // Versions at which endpoints were removed: an older entry from a peer must
  // not bring one back.
  std::map<EndpointId, uint64_t> removed_versions_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_ENDPOINTS_ENDPOINT_REGISTRY_H_
