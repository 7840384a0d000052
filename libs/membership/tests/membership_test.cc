#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/membership.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

std::vector<VmEntry> MakeVms(int count) {
  std::vector<VmEntry> vms;
  for (int n = 0; n < count; ++n) {
    vms.push_back({{"vm-" + std::to_string(n)},
                   {"site-" + std::to_string(n % 3)},
                   "",
                   "",
                   false});
  }
  return vms;
}

}  // namespace

TEST_GROUP(Ranks){};

TEST(Ranks, PreferTheSiteAndExcludeLeavingVms) {
  std::vector<VmEntry> vms = MakeVms(9);
  const auto before = RankOwners(vms, {"site-1"}, "endpoint", 3);
  for (const VmId& vm : before) {
    CHECK(vm.value == "vm-1" || vm.value == "vm-4" || vm.value == "vm-7");
  }
  for (VmEntry& entry : vms) {
    entry.is_leaving = entry.vm == before[0];
  }
  const auto after = RankOwners(vms, {"site-1"}, "endpoint", 2);
  CHECK(after[0] == before[1]);
  CHECK(after[1] == before[2]);
}

TEST(Ranks, RemovingAVmReassignsOnlyItsShare) {
  std::vector<VmEntry> vms = MakeVms(30);
  std::map<std::string, VmId> owners;
  for (int n = 0; n < 1000; ++n) {
    const std::string name = "e" + std::to_string(n);
    owners[name] = RankOwners(vms, {}, name, 1).front();
  }
  const VmId removed = vms.back().vm;
  vms.pop_back();
  int reassigned_count = 0;
  for (const auto& [name, owner] : owners) {
    const VmId now = RankOwners(vms, {}, name, 1).front();
    CHECK(now == owner || owner == removed);
    reassigned_count += now == owner ? 0 : 1;
  }
  CHECK(reassigned_count > 10 && reassigned_count < 70);
}

}  // namespace magnoliareel
