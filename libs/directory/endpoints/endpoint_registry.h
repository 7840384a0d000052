#ifndef MAGNOLIAREEL_DIRECTORY_ENDPOINTS_ENDPOINT_REGISTRY_H_
#define MAGNOLIAREEL_DIRECTORY_ENDPOINTS_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "directory/model/endpoint_entry.h"

namespace magnoliareel {

/** An entry with the version of its row in the store. */
struct VersionedEntry {
  EndpointEntry entry;
  /** Version of the store at the row's last change. */
  uint64_t row_version = 0;
};

/** The endpoints that this process knows.

    An entry that is removed from the store may only have expired during an
    outage of the store. It is kept for a grace period, and removed if it does
    not return.

    @see EndpointEntry
*/
class EndpointRegistry {
 public:
  /** Time for which a removed entry is kept. Live endpoints are listed again
      within two seconds after the end of a store outage (platform
      documentation); half a second covers delivery. */
  static constexpr Duration kRemovalGracePeriod =
      std::chrono::milliseconds(2500);
  /** VMs receive a report, and each other's notices of it, within this time.
      A drain time that differs by less is not changed. */
  static constexpr Duration kDrainTimeTolerance =
      std::chrono::milliseconds(100);

  /** Adds or changes an entry, unless a newer version is known.

      @param entry    an entry from the store or from a peer
      @param changed  when it can have been written
      @returns        true if the listed entries changed
  */
  bool Put(const VersionedEntry& entry, ChangeTime changed);

  /** Records when another VM has received the report that an endpoint is
      draining. The earliest one counts if there are several, since a report
      can't be known before it is made.

      @param id             the endpoint
      @param started_at_ms  start of the endpoint that reported
      @param since          when the report was received
      @returns              true if the listed entries changed
  */
  bool RecordDrain(const EndpointId& id,
                   int64_t started_at_ms,
                   TimePoint since);

  /** Returns whether something newer is known than an entry says. It then comes
      from a peer that lags behind, or from a store that was restored from a
      copy.

      @param entry  an entry from the store or from a peer
      @returns      true if a newer version of its row is known, or a later
                    report since the same start, also if the endpoint was
                    removed since
  */
  bool IsOutdated(const VersionedEntry& entry) const;

  /** Marks an entry as removed from the store. A draining endpoint has no
      grace period.

      @param id           the endpoint
      @param row_version  version at which its row was removed
      @param now          the current time
  */
  void MarkRemoved(const EndpointId& id, uint64_t row_version, TimePoint now);

  /** Applies a complete listing, and marks all other entries as removed.

      @param listing      all entries of the store
      @param row_version  version of the listing
      @param now          the current time
      @returns            true if an entry was added or changed
  */
  bool ApplyListing(std::span<const VersionedEntry> listing,
                    uint64_t row_version,
                    TimePoint now);

  /** Restarts the grace period of removed entries, for use during and after an
      outage of the store.

      @param now  the current time
  */
  void ExtendGracePeriods(TimePoint now);

  /** Removes the entries whose grace period has ended.

      @param now  the current time
      @returns    the removed endpoints
  */
  std::vector<EndpointId> Sweep(TimePoint now);

  /** @returns all entries, ordered by id */
  std::vector<EndpointEntry> List() const;
  /** @param id  the endpoint to look up
      @returns    its entry, or null if it is not known
  */
  const EndpointEntry* Find(const EndpointId& id) const;

 private:
  struct State {
    VersionedEntry versioned;
    std::optional<TimePoint> remove_at;
  };

  struct Removed {
    // Version at which the endpoint was removed. An older entry from a peer
    // must not restore it.
    uint64_t row_version = 0;
    EndpointEntry last_entry;
  };

  /** @returns true if the row is known to have changed or been removed later */
  bool IsOlderVersion(const VersionedEntry& entry) const;
  /** @returns the latest known entry of the same start of an endpoint, also if
               it was removed; null if there is none */
  const EndpointEntry* FindLatest(const EndpointEntry& entry) const;
  /** @returns when the endpoint can have reported that it is draining; nothing
               if it is not */
  ChangeTime FindDrainTime(const EndpointEntry& entry,
                           ChangeTime changed) const;

  std::map<EndpointId, State> entries_;
  std::map<EndpointId, Removed> removed_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_ENDPOINTS_ENDPOINT_REGISTRY_H_
