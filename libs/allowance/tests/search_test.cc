#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "allowance/tests/simulated_vms.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

// Depth 16 and rate 2 for two parts: the bound is 19 operations in a second.
constexpr TeamLimit kLimit{2, 17};
constexpr AllowanceWindow kWindow{std::chrono::seconds(1), 0, 0};
constexpr size_t kMaxOperations = 40;

using Step = std::function<void(SimulatedVms&)>;

void TakeAll(SimulatedVms& vms, size_t vm) {
  for (size_t n = 0; n < kMaxOperations; ++n) {
    if (vms.Get(vm).Take() != PermitResult::kGranted) {
      return;
    }
  }
}

std::vector<std::pair<std::string, Step>> ListSteps(size_t count) {
  std::vector<std::pair<std::string, Step>> steps;
  for (size_t vm = 0; vm < count; ++vm) {
    const std::string name = " " + std::to_string(vm);
    steps.emplace_back("take" + name,
                       [vm](SimulatedVms& it) { TakeAll(it, vm); });
    steps.emplace_back("restart" + name, [vm](SimulatedVms& it) {
      it.Restart(vm);
      it.Advance(std::chrono::milliseconds(50));
    });
  }
  steps.emplace_back("100 ms", [](SimulatedVms& it) {
    it.Advance(std::chrono::milliseconds(100));
  });
  steps.emplace_back(
      "10 s", [](SimulatedVms& it) { it.Advance(std::chrono::seconds(10)); });
  // Marks and reclaims the slots of the last VM, which goes on by itself.
  steps.emplace_back("absence", [count](SimulatedVms& it) {
    it.SetCutOff(count - 1, true);
    it.Advance(std::chrono::minutes(45));
  });
  steps.emplace_back("return", [count](SimulatedVms& it) {
    it.SetCutOff(count - 1, false);
    it.Advance(std::chrono::seconds(1));
  });
  steps.emplace_back("store away",
                     [](SimulatedVms& it) { it.SetStoreAway(true); });
  steps.emplace_back("slot request", [count](SimulatedVms& it) {
    it.Get(0).GetRegistry().HandleSlotRequest(SimulatedVms::NameVm(count - 1));
  });
  for (const auto& [name, fault] :
       {std::pair("write lost", WriteFault::kLost),
        std::pair("write not answered", WriteFault::kAnswerLost),
        std::pair("write late", WriteFault::kLate)}) {
    steps.emplace_back(
        name, [fault = fault](SimulatedVms& it) { it.SetWriteFault(fault); });
  }
  for (const auto& [name, fault] :
       {std::pair("message lost", MessageFault::kLost),
        std::pair("message twice", MessageFault::kDuplicate),
        std::pair("message late", MessageFault::kLate)}) {
    steps.emplace_back(
        name, [fault = fault](SimulatedVms& it) { it.SetMessageFault(fault); });
  }
  return steps;
}

struct SearchResult {
  uint64_t paths = 0;
  /** Steps of the first path above the bound; empty if there is none. */
  std::string path;
};

// Runs every sequence of `depth` steps from a start where the first VM owns all
// slots and its buckets are full.
SearchResult Search(size_t count, size_t slots, size_t depth, Defect defect) {
  const auto steps = ListSteps(count);
  SearchResult result;
  std::vector<size_t> path(depth, 0);
  while (result.path.empty()) {
    SimulatedVms vms(count, kLimit, kWindow, defect);
    SlotAssignment row;
    row.owners.assign(slots, {SimulatedVms::NameVm(0), 0});
    vms.SetRow(PlainSlotCodec::Encode(row));
    // Requests for slots are lost until the buckets are full.
    vms.SetMessageFaults([] { return std::pair(true, Duration{}); });
    for (size_t vm = 0; vm < count; ++vm) {
      vms.Restart(vm);
    }
    vms.Advance(std::chrono::seconds(20));
    vms.SetMessageFaults(nullptr);
    for (const size_t it : path) {
      steps[it].second(vms);
    }
    for (size_t vm = 0; vm < count; ++vm) {
      TakeAll(vms, vm);
    }
    vms.Advance(std::chrono::milliseconds(100));
    ++result.paths;
    if (vms.FindExcess(kLimit) > 0) {
      for (const size_t it : path) {
        result.path += steps[it].first + "; ";
      }
    }
    size_t at = depth;
    while (at > 0 && ++path[at - 1] == steps.size()) {
      path[--at] = 0;
    }
    if (at == 0) {
      break;
    }
  }
  return result;
}

}  // namespace

TEST_GROUP_BASE(AllowanceSearch, QuietTestGroup){};

TEST(AllowanceSearch, NoPathOfTwoVmsExceedsTheBound) {
  // Guards against permits that are issued twice after a restart, a lost,
  // duplicate or late message, or a change of a slot's owner.
  const SearchResult result = Search(2, 2, 4, Defect::kNone);
  STRCMP_EQUAL("", result.path.c_str());
  CHECK(result.paths > 50000);
}

TEST(AllowanceSearch, NoPathOfThreeVmsExceedsTheBound) {
  // As above, where a third VM borrows from both owners.
  const SearchResult result = Search(3, 4, 3, Defect::kNone);
  STRCMP_EQUAL("", result.path.c_str());
  CHECK(result.paths > 5000);
}

TEST(AllowanceSearch, FindsBucketsThatStartFull) {
  // Guards against a search that could not find a restart that issues again.
  CHECK(!Search(2, 2, 4, Defect::kFullStart).path.empty());
}

TEST(AllowanceSearch, FindsSlotsThatStayInUseAfterTheyWereGiven) {
  // Guards against a search that could not find a slot with two users.
  CHECK(!Search(2, 2, 4, Defect::kUseAfterGiving).path.empty());
}

}  // namespace magnoliareel
