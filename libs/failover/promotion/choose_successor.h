#ifndef MAGNOLIAREEL_FAILOVER_PROMOTION_CHOOSE_SUCCESSOR_H_
#define MAGNOLIAREEL_FAILOVER_PROMOTION_CHOOSE_SUCCESSOR_H_

#include <optional>
#include <span>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** Adoption of a new term by one endpoint. */
struct TermAdoption {
  /** The endpoint that adopted the term. */
  EndpointId endpoint;
  /** State of the endpoint at the adoption, from its answer. */
  EndpointReport report;
};

/** Chooses the endpoint to promote.

    A majority holds every acknowledged write, so the most advanced endpoint of
    any majority holds them all. If all endpoints have adopted the term, every
    endpoint at or past the point that a majority has reached holds them too. Of
    these, an endpoint that is neither leaving nor to be avoided is preferred.

    @param adoptions   adoptions of the term
    @param group_size  number of endpoints of the group
    @param avoid       endpoint to be replaced; chosen only if no other endpoint
                       qualifies
    @returns           the successor; nothing if no majority adopted the term
*/
std::optional<EndpointId> ChooseSuccessor(
    std::span<const TermAdoption> adoptions,
    size_t group_size,
    const EndpointId& avoid);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_PROMOTION_CHOOSE_SUCCESSOR_H_
