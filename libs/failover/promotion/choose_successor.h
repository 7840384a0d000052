#ifndef MAGNOLIAREEL_FAILOVER_PROMOTION_CHOOSE_SUCCESSOR_H_
#define MAGNOLIAREEL_FAILOVER_PROMOTION_CHOOSE_SUCCESSOR_H_

#include <optional>
#include <span>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** An endpoint that has adopted the new term, and its state from then. */
struct TermAdoption {
  /** The endpoint. */
  EndpointId endpoint;
  /** Its report in the answer to the adoption. */
  EndpointReport report;
};

/** Chooses the endpoint to promote.

    Every acknowledged write is held by a majority, so it is held by the most
    advanced endpoint of any majority. If all endpoints have adopted the term,
    any endpoint at or past the majority's point holds it too, and one that is
    neither leaving nor to be replaced is preferred.

    @param adopters    endpoints that adopted the term
    @param group_size  number of endpoints of the group
    @param avoid       endpoint to be replaced, if another one will do
    @returns           the successor; nothing without a majority
*/
std::optional<EndpointId> ChooseSuccessor(
    std::span<const TermAdoption> adopters,
    size_t group_size,
    const EndpointId& avoid);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_FAILOVER_PROMOTION_CHOOSE_SUCCESSOR_H_
