#ifndef MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REGISTRY_H_
#define MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REGISTRY_H_

#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "core/core.h"
#include "directory/directory.h"

namespace magnoliareel {

/** Which endpoint leads each service, as the control thread knows: from proofs
    on connections of this VM, from orders, and from what endpoints say. */
class PrimaryRegistry {
 public:
  /** An ordered leader that has proven nothing by then has failed to lead. */
  static constexpr Duration kConfirmationTimeout =
      std::chrono::milliseconds(2000);
  /** A primary that the directory lists no more is gone after this time: its
      successor's first report may arrive a little later than its own end. */
  static constexpr Duration kDelistedGracePeriod =
      std::chrono::milliseconds(300);

  /** What is known of one service's leader. */
  struct Leader {
    EndpointId endpoint;
    /** It leads, as it has proven or said. */
    bool confirmed = false;
    /** The directory lists it no more. */
    bool gone = false;
    /** It was ordered to lead and has not. */
    bool failed_to_lead = false;
  };

  /** Takes up the endpoints in use. */
  void Apply(std::span<const EndpointEntry> endpoints, TimePoint now);
  /** An endpoint has proven that it leads. */
  void NoteProven(const ServiceId& service,
                  const EndpointId& endpoint,
                  Term term);
  /** An endpoint was ordered to lead.

      @param service        its service
      @param endpoint       the endpoint
      @param fencing_token  of the order; lower ones are ignored, the holder
                            of one may order another endpoint later
      @param now            the present moment
      @returns              true if that is news
  */
  bool RecordPromotion(const ServiceId& service,
                       const EndpointId& endpoint,
                       uint64_t fencing_token,
                       TimePoint now);

  /** @param endpoint  any
      @returns          true if it is known as a leader */
  bool IsLeader(const EndpointId& endpoint) const;
  /** @returns the leaders that are known, by service */
  std::vector<std::pair<ServiceId, EndpointId>> List() const;
  /** @param service  any
      @param now      the present moment
      @returns         its leader, or none if none was ever known */
  std::optional<Leader> Get(const ServiceId& service, TimePoint now) const;

 private:
  struct Known {
    EndpointId endpoint;
    Term term;
    /** It leads, as it has proven or said. */
    bool confirmed = false;
    std::optional<TimePoint> ordered_at;
    uint64_t ordered_token = 0;
    /** The endpoint of the last order; repeats of it are no news. */
    EndpointId ordered_endpoint;
    std::optional<TimePoint> missing_since;
  };

  std::map<ServiceId, Known> leaders_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CONTROL_FAILOVER_PRIMARY_REGISTRY_H_
