#ifndef MAGNOLIAREEL_RELAY_MESSAGES_ENDPOINT_REQUIREMENT_H_
#define MAGNOLIAREEL_RELAY_MESSAGES_ENDPOINT_REQUIREMENT_H_

#include <string_view>

namespace magnoliareel {

/** What a statement requires of the endpoint that runs it. */
enum class EndpointRequirement {
  /** A read at any endpoint that satisfies the freshness bound. */
  kRead,
  /** A read in a read-write transaction, which only the primary accepts. */
  kPrimaryRead,
  /** A write outside a transaction. */
  kWrite,
  /** The first statement of a transaction at the primary. */
  kReadWriteTransaction,
  /** The first statement of a transaction that only reads. */
  kReadTransaction,
  /** A later statement of an open transaction. */
  kOpenTransaction,
};

/** @param requirement  any requirement
    @returns             its name in logs
*/
std::string_view EndpointRequirementName(EndpointRequirement requirement);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_RELAY_MESSAGES_ENDPOINT_REQUIREMENT_H_
