#ifndef MAGNOLIAREEL_ALLOWANCE_BOOK_PERMIT_MESSAGES_H_
#define MAGNOLIAREEL_ALLOWANCE_BOOK_PERMIT_MESSAGES_H_

#include <cstdint>

#include "core/core.h"

namespace magnoliareel {

/** Asks the owner of a slot for permits. */
struct PermitRequest {
  TeamId team;
  /** Wanted number. */
  uint32_t count = 0;
  /** Distinguishes the requests of a process, and of its predecessors. */
  uint64_t sequence = 0;
};

/** Permits that the owner of a slot has taken from its bucket. */
struct PermitGrant {
  TeamId team;
  /** 0 if the bucket is empty. */
  uint32_t count = 0;
  /** That of the request. */
  uint64_t sequence = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ALLOWANCE_BOOK_PERMIT_MESSAGES_H_
