#include <string>

#include "allowance/tests/simulated_vms.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

constexpr TeamLimit kLimit{2, 17};
constexpr AllowanceWindow kWindow{std::chrono::seconds(1), 0, 0};

size_t CountRowSlots(const SimulatedVms& vms, size_t vm) {
  const SlotAssignment row = vms.GetRow();
  return static_cast<size_t>(std::count_if(
      row.owners.begin(), row.owners.end(),
      [&](const auto& it) { return it.vm == SimulatedVms::NameVm(vm); }));
}

size_t CountUsedSlots(SimulatedVms& vms, size_t vm) {
  return vms.Get(vm).GetBook().CountOwnSlots();
}

/** Two VMs, of which the first owns both slots. */
class UnevenVms : public SimulatedVms {
 public:
  UnevenVms() : SimulatedVms(2, kLimit, kWindow) {
    SetRow("slots vm-a 0 vm-a 0");
    Restart(0);
    Restart(1);
  }
};

}  // namespace

TEST_GROUP_BASE(SlotRegistry, QuietTestGroup){};

TEST(SlotRegistry, TheFirstVmCreatesTheRowOnceTheVmsHaveSettled) {
  // Guards against several first rows, and against a row for few of the VMs.
  SimulatedVms vms(3, kLimit, kWindow);
  vms.Advance(std::chrono::milliseconds(1900));
  LONGS_EQUAL(0, vms.GetVersion());
  vms.Advance(std::chrono::seconds(10));
  LONGS_EQUAL(1, vms.GetVersion());
  LONGS_EQUAL(4, vms.GetRow().owners.size());
  for (size_t vm = 0; vm < 3; ++vm) {
    CHECK(CountRowSlots(vms, vm) >= 1);
    LONGS_EQUAL(CountRowSlots(vms, vm), CountUsedSlots(vms, vm));
  }
}

TEST(SlotRegistry, AVmWithoutASlotIsGivenOne) {
  // Guards against VMs that can only borrow for ever.
  UnevenVms vms;
  vms.Advance(std::chrono::minutes(5));
  LONGS_EQUAL(1, CountRowSlots(vms, 0));
  LONGS_EQUAL(1, CountRowSlots(vms, 1));
  LONGS_EQUAL(1, CountUsedSlots(vms, 0));
  LONGS_EQUAL(1, CountUsedSlots(vms, 1));
}

TEST(SlotRegistry, ASlotWhoseGivingWasLostIsUsedAgainOnlyUnderANewVersion) {
  // Guards against a slot with two users when the lost write takes effect.
  UnevenVms vms;
  vms.SetWriteFault(WriteFault::kLost);
  vms.Advance(std::chrono::milliseconds(10));
  LONGS_EQUAL(2, CountUsedSlots(vms, 0));
  vms.Advance(std::chrono::milliseconds(10));
  LONGS_EQUAL(1, CountUsedSlots(vms, 0));
  vms.Advance(std::chrono::milliseconds(100));
  LONGS_EQUAL(1, CountUsedSlots(vms, 0));
  LONGS_EQUAL(1, vms.GetVersion());
  vms.Advance(std::chrono::seconds(5));
  CHECK(vms.GetVersion() > 1);
  LONGS_EQUAL(2, CountUsedSlots(vms, 0) + CountUsedSlots(vms, 1));
}

TEST(SlotRegistry, ALateWriteHasNoEffectOnceTheSlotIsUsedAgain) {
  // Guards against a write whose condition still holds when it arrives.
  UnevenVms vms;
  vms.SetWriteFault(WriteFault::kLate);
  for (int n = 0; n < 100; ++n) {
    vms.Advance(std::chrono::milliseconds(100));
    CHECK(CountUsedSlots(vms, 0) <= CountRowSlots(vms, 0));
    CHECK(CountUsedSlots(vms, 0) + CountUsedSlots(vms, 1) <= 2);
  }
}

TEST(SlotRegistry, SlotsOfAVmThatIsGoneAreReclaimedAfterItHasCeased) {
  // Guards against slots that are lost for ever, and against a new owner that
  // begins while the former one goes on.
  SimulatedVms vms(2, kLimit, kWindow);
  vms.SetRow("slots vm-b 0 vm-b 0");
  vms.Advance(std::chrono::milliseconds(20));
  vms.SetCutOff(1, true);
  vms.Advance(std::chrono::minutes(14));
  LONGS_EQUAL(2, CountRowSlots(vms, 1));
  bool has_ceased = false;
  for (int n = 0; n < 60 * 60; ++n) {
    vms.Advance(std::chrono::seconds(1));
    has_ceased = vms.Get(1).Take() == PermitResult::kRefused;
    CHECK(has_ceased || CountUsedSlots(vms, 0) == 0);
  }
  CHECK(has_ceased);
  CHECK(CountRowSlots(vms, 0) >= 1);
}

TEST(SlotRegistry, AMarkThatWasRenewedIsWaitedForAnew) {
  // Guards against a slot that is reclaimed by the age of a withdrawn mark.
  SimulatedVms vms(2, kLimit, kWindow);
  vms.SetRow("slots vm-b 1");
  vms.SetCutOff(1, true);
  vms.Advance(std::chrono::minutes(14));
  vms.SetRow("slots vm-b 2");
  vms.Advance(std::chrono::minutes(14));
  LONGS_EQUAL(1, CountRowSlots(vms, 1));
  vms.Advance(std::chrono::minutes(6));
  LONGS_EQUAL(1, CountRowSlots(vms, 0));
}

TEST(SlotRegistry, ARowOfAnotherWriterStopsTheSlots) {
  // Guards against permits on the strength of a row that nobody understands.
  UnevenVms vms;
  vms.SetCutOff(1, true);
  vms.Advance(std::chrono::seconds(20));
  CHECK(vms.Get(0).Take() == PermitResult::kGranted);
  vms.SetRow("something else");
  vms.Advance(std::chrono::minutes(5));
  CHECK(vms.Get(0).Take() == PermitResult::kRefused);
  vms.SetRow("slots vm-a 0 vm-a 0");
  vms.Advance(std::chrono::minutes(5));
  CHECK(vms.Get(0).Take() == PermitResult::kGranted);
}

TEST(SlotRegistry, SlotsLapseWhenTheStoreIsAwayAndStartEmptyAfterwards) {
  // Guards against permits of a slot that another VM may own, and against those
  // that a bucket has gathered meanwhile.
  UnevenVms vms;
  vms.SetCutOff(1, true);
  vms.Advance(std::chrono::seconds(20));
  vms.SetStoreAway(true);
  vms.Advance(std::chrono::minutes(10));
  CHECK(vms.Get(0).Take() == PermitResult::kGranted);
  vms.Advance(std::chrono::minutes(6));
  CHECK(vms.Get(0).Take() == PermitResult::kRefused);
  vms.SetStoreAway(false);
  vms.Advance(std::chrono::milliseconds(2100));
  size_t taken = 0;
  while (vms.Get(0).Take() == PermitResult::kGranted) {
    ++taken;
  }
  CHECK(taken <= 5);
}

}  // namespace magnoliareel
