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
  /** If not 0, the VM has not been heard for long, and its slot is given away
      once it has certainly ceased to use it. The version of the row that was
      marked, which tells this mark from an earlier one that was withdrawn. */
  uint64_t mark = 0;

  bool operator==(const SlotOwner&) const = default;
  /** @returns whether the VM is to lose the slot */
  bool IsVacating() const { return mark != 0; }
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
