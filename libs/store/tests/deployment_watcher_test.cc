#include <map>
#include <memory>
#include <string>
#include <vector>

#include "store/store.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

std::string MakeDocument(int slots) {
  std::string endpoints;
  for (const char* it : {"a1", "a2", "a3"}) {
    endpoints += std::string(endpoints.empty() ? "" : ",") + R"({"name":")" +
                 it + R"(","site":"x","slots":)" + std::to_string(slots) +
                 R"(,"connections":32})";
  }
  return R"({"services":[{"name":"logs","groups":[{"name":"a","endpoints":[)" +
         endpoints + R"(]}]}],"callers":[]})";
}

/** Platform that answers without delay; reads of rows fail while it is
    unavailable. */
class FakePlatform {
 public:
  explicit FakePlatform(ManualExecutor& executor) : executor_(executor) {}

  const PlatformKeys& GetKeys() const { return keys_; }

  void GetRow(const std::string& /*key*/,
              const std::function<void(RowReply)>& done) {
    const RowReply reply =
        is_unavailable
            ? RowReply{Error::kStoreUnavailable, {}}
            : RowReply{{},
                       {head.version == 0 ? "" : FormatDocumentHead(head),
                        head.version}};
    executor_.Post([done, reply] { done(reply); });
  }
  void GetObject(const std::string& hash,
                 const std::function<void(PlatformReply<std::string>)>& done) {
    executor_.Post([this, hash, done] { done({{}, objects[hash]}); });
  }
  void ListVms(
      const std::function<void(PlatformReply<std::vector<VmEntry>>)>& done) {
    executor_.Post([this, done] { done({{}, vms}); });
  }

  void Put(uint64_t version, const std::string& text) {
    const std::string hash = HashSha256(text);
    objects[hash] = text;
    head = {version, hash, "ana", "op"};
  }

  bool is_unavailable = false;
  DocumentHead head;
  std::map<std::string, std::string> objects;
  std::vector<VmEntry> vms;

 private:
  ManualExecutor& executor_;
  const PlatformKeys keys_{"test"};
};

}  // namespace

TEST_GROUP(DeploymentWatching) {
  ManualExecutor executor;
  FakePlatform platform{executor};
  std::vector<uint64_t> in_force;
  std::vector<uint64_t> rejected;
  DeploymentWatcher<ManualExecutor, FakePlatform> watcher{
      executor, platform,
      DeploymentEvents{[this](const std::shared_ptr<const Deployment>& it) {
                         in_force.push_back(it->version);
                       },
                       [this](uint64_t version, const Findings&) {
                         rejected.push_back(version);
                       },
                       [](std::error_code) {}}};

  void AdvanceTime(int seconds) {
    executor.Advance(std::chrono::seconds(seconds));
  }
};

TEST(DeploymentWatching, AppliesOnlyHigherVersions) {
  watcher.Start();
  platform.Put(2, MakeDocument(5));
  AdvanceTime(2);
  platform.Put(1, MakeDocument(4));
  AdvanceTime(2);
  CHECK(in_force == std::vector<uint64_t>{2});
  platform.Put(3, MakeDocument(3));
  AdvanceTime(2);
  CHECK((in_force == std::vector<uint64_t>{2, 3}));
}

TEST(DeploymentWatching, KeepsTheDocumentWhileTheStoreIsUnavailable) {
  watcher.Start();
  platform.Put(1, MakeDocument(5));
  AdvanceTime(2);
  platform.is_unavailable = true;
  platform.Put(2, MakeDocument(4));
  AdvanceTime(5);
  LONGS_EQUAL(1, watcher.GetVersion());
  platform.is_unavailable = false;
  AdvanceTime(2);
  LONGS_EQUAL(2, watcher.GetVersion());
}

TEST(DeploymentWatching, RejectsADocumentWithFindingsOnceAndKeepsTheOldOne) {
  watcher.Start();
  platform.Put(1, MakeDocument(5));
  AdvanceTime(2);
  platform.Put(2, MakeDocument(0));
  AdvanceTime(5);
  CHECK(rejected == std::vector<uint64_t>{2});
  LONGS_EQUAL(1, watcher.GetVersion());
}

TEST(DeploymentWatching, AppliesAPeersDocumentOnlyIfItIsNewer) {
  watcher.Offer(4, MakeDocument(5));
  watcher.Offer(3, MakeDocument(4));
  LONGS_EQUAL(4, watcher.GetVersion());
  STRCMP_EQUAL(MakeDocument(5).c_str(), watcher.GetText().c_str());
}

TEST(DeploymentWatching, ReportsADocumentThatPeersOfferAgainAndAgainOnce) {
  // A peer of a newer build may have in force what this build rejects.
  const std::string faulty = MakeDocument(0);
  for (int n = 0; n < 5; ++n) {
    watcher.Offer(2, faulty);
  }
  CHECK(rejected == std::vector<uint64_t>{2});
  watcher.Offer(2, MakeDocument(5));
  LONGS_EQUAL(2, watcher.GetVersion());
}

}  // namespace magnoliareel
