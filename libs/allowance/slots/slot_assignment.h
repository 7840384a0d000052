#ifndef MAGNOLIAREEL_ALLOWANCE_SLOTS_SLOT_ASSIGNMENT_H_
#define MAGNOLIAREEL_ALLOWANCE_SLOTS_SLOT_ASSIGNMENT_H_

#include <cstdint>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** A VM that issues permits, and whether it is to lose the right. */
struct SlotOwner {
  /** Empty if nobody owns the slot. */
  VmId vm;
  /** The VM has not been heard for long. Its slot is given away once it has
      certainly ceased to use it. */
  bool is_vacating = false;

  bool operator==(const SlotOwner&) const = default;
};

/** Which VM issues permits from which slot. The number of slots never changes,
    so that all VMs divide a team's budget alike whatever VMs live. */
struct SlotAssignment {
  /** By slot number. */
  std::vector<SlotOwner> owners;

  bool operator==(const SlotAssignment&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_ALLOWANCE_SLOTS_SLOT_ASSIGNMENT_H_
