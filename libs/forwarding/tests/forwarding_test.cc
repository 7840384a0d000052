#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "forwarding/forwarding.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

std::vector<HolderCandidate> MakeCandidates(size_t n) {
  std::vector<HolderCandidate> candidates;
  for (size_t it = 0; it < n; ++it) {
    candidates.push_back({VmId{"vm-" + std::to_string(it)},
                          SiteId{"site-" + std::to_string(it % 3)},
                          {"127.0.0.1", static_cast<uint16_t>(20000 + it)}});
  }
  return candidates;
}

EndpointEntry MakeEndpoint(const std::string& id) {
  EndpointEntry entry;
  entry.id.value = id;
  entry.site.value = "site-1";
  return entry;
}

// Holders of an endpoint in the view of one VM, this VM included.
std::set<std::string> ListHolders(HolderTable& table,
                                  const VmId& self,
                                  const EndpointEntry& endpoint) {
  const EndpointHolders& holders = table.Find(endpoint);
  std::set<std::string> vms;
  if (holders.held_here) {
    vms.insert(self.value);
  }
  for (const EndpointHolder& it : holders.peers) {
    if (vms.size() < kHoldersPerEndpoint) {
      vms.insert(it.vm.value);
    }
  }
  return vms;
}

}  // namespace

TEST_GROUP(HolderTable){};

TEST(HolderTable, AllVmsChooseTheSameHoldersAtTheEndpointsSite) {
  const std::vector<HolderCandidate> candidates = MakeCandidates(300);
  const EndpointEntry endpoint = MakeEndpoint("db-1");
  std::set<std::set<std::string>> choices;
  std::map<std::string, int> first_choices;
  for (const HolderCandidate& it : candidates) {
    HolderTable table(it.vm);
    table.SetCandidates(candidates);
    choices.insert(ListHolders(table, it.vm, endpoint));
    const EndpointHolders& holders = table.Find(endpoint);
    ++first_choices[holders.peers.front().vm.value];
    for (const EndpointHolder& holder : holders.peers) {
      const auto found =
          std::find_if(candidates.begin(), candidates.end(),
                       [&](const auto& row) { return row.vm == holder.vm; });
      CHECK(found->site == endpoint.site);
    }
  }
  LONGS_EQUAL(1, choices.size());
  LONGS_EQUAL(kHoldersPerEndpoint, choices.begin()->size());
  // The VMs spread over the holders.
  LONGS_EQUAL(kHoldersPerEndpoint, first_choices.size());
  for (const auto& [vm, n] : first_choices) {
    CHECK(n > 40);
  }
}

TEST(HolderTable, ALostVmChangesOnlyTheEndpointsThatItHolds) {
  std::vector<HolderCandidate> candidates = MakeCandidates(60);
  HolderTable before(VmId{"vm-0"});
  before.SetCandidates(candidates);
  const VmId lost = candidates[10].vm;
  std::erase_if(candidates, [&](const auto& it) { return it.vm == lost; });
  HolderTable after(VmId{"vm-0"});
  after.SetCandidates(candidates);
  for (int n = 0; n < 60; ++n) {
    const EndpointEntry endpoint = MakeEndpoint("db-" + std::to_string(n));
    std::set<std::string> expected =
        ListHolders(before, VmId{"vm-0"}, endpoint);
    const std::set<std::string> actual =
        ListHolders(after, VmId{"vm-0"}, endpoint);
    if (!expected.contains(lost.value)) {
      CHECK(expected == actual);
      continue;
    }
    expected.erase(lost.value);
    CHECK(std::includes(actual.begin(), actual.end(), expected.begin(),
                        expected.end()));
  }
}

TEST(HolderTable, ReportsWhetherTheCandidatesHaveChanged) {
  HolderTable table(VmId{"vm-0"});
  CHECK(table.SetCandidates(MakeCandidates(5)));
  CHECK(!table.SetCandidates(MakeCandidates(5)));
  CHECK(table.SetCandidates(MakeCandidates(4)));
  LONGS_EQUAL(4, table.CountCandidates());
}

TEST_GROUP(ForwardingFields){};

TEST(ForwardingFields, DecodesWhatItEncodes) {
  for (const EndpointRequirement requirement :
       {EndpointRequirement::kRead, EndpointRequirement::kPrimaryRead,
        EndpointRequirement::kWrite, EndpointRequirement::kReadWriteTransaction,
        EndpointRequirement::kReadTransaction,
        EndpointRequirement::kOpenTransaction}) {
    ForwardingHeader header;
    header.requirement = requirement;
    header.priority = 2;
    header.time_left = std::chrono::milliseconds(750);
    header.config_version = 17;
    if (requirement == EndpointRequirement::kRead) {
      header.required_point = LogPoint{Term{3}, LogPosition{1207}};
    }
    std::string text;
    AppendForwardingFields(text, header);
    text += "the statement  itself";
    std::string_view rest = text;
    ForwardingHeader decoded;
    CHECK(TakeForwardingFields(rest, decoded));
    CHECK(decoded.requirement == requirement);
    LONGS_EQUAL(2, decoded.priority);
    CHECK(decoded.time_left == header.time_left);
    LONGS_EQUAL(17, decoded.config_version);
    CHECK(decoded.required_point == header.required_point);
    CHECK(rest == "the statement  itself");
  }
}

TEST(ForwardingFields, RejectsFieldsThatAreMissingOrOutOfRange) {
  for (const char* it :
       {"", "r", "x 0 1 1 - READ a", "rr 0 1 1 - READ a", "r -1 1 1 - READ a",
        "r 9999999 1 1 - READ a", "r 0 99999999999999999999 1 - READ a",
        "r 0 86400001 1 - READ a", "r 0 1 x - READ a", "r 0 1 1 1 READ a",
        "r 0 1 1 1.x READ a"}) {
    std::string_view rest = it;
    ForwardingHeader header;
    CHECK_TEXT(!TakeForwardingFields(rest, header), it);
  }
}

TEST(ForwardingFields, EncodesAnExpiredDeadlineAsNoTimeLeft) {
  ForwardingHeader header;
  header.time_left = std::chrono::milliseconds(-5);
  std::string text;
  AppendForwardingFields(text, header);
  std::string_view rest = text;
  ForwardingHeader decoded;
  CHECK(TakeForwardingFields(rest, decoded));
  CHECK(decoded.time_left == Duration(0));
}

}  // namespace magnoliareel
