#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/traffic/captured_log.h"
#include "tests/traffic/held_service.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

constexpr size_t kSuccessor = 2;

/** @returns the number in a field of a log line; -1 if it has none */
int64_t ReadField(const std::string& line, const std::string& name) {
  const size_t found = line.find(" " + name + "=");
  return found == std::string::npos
             ? -1
             : std::stoll(line.substr(found + name.size() + 2));
}

bool HasField(const std::string& line, const std::string& field) {
  return (line + " ").find(" " + field + " ") != std::string::npos;
}

}  // namespace

TEST_GROUP(CommitHoldLog){};

TEST(CommitHoldLog, ALossNamesWhoAnsweredAndWhichPromotionWasKnown) {
  // Guards against a record from which nobody can tell whether the VM had heard
  // of the promotion when it answered the commits that were lost.
  CapturedLog log;
  HeldService service(1);
  const uint64_t writer = service.Open(0);
  service.GetGroup().SetReplicationCut(kSuccessor, true);
  for (const char* it : {"w1", "w2", "w3"}) {
    service.Run(writer, it, "WRITE groyne-1 x");
  }
  service.Promote(kSuccessor);
  service.GetSimulation().AnnouncePrimary(
      ServiceId{service.GetSimulation().GetService()},
      EndpointId{service.GetGroup().GetId(kSuccessor)});
  service.Advance(milliseconds(1500));
  service.GetGroup().SetReplicationCut(kSuccessor, false);
  service.Run(writer, "w4", "WRITE groyne-1 x");
  const std::string line = log.FindLast(" commits.lost ");
  CHECK_TEXT(HasField(line, "answered_by=" + service.GetGroup().GetId(kFormer)),
             line.c_str());
  CHECK_TEXT(HasField(line, "ordered=" + service.GetGroup().GetId(kSuccessor)),
             line.c_str());
  const int64_t ordered_ms = ReadField(line, "ordered_ms");
  const int64_t answered_ms = ReadField(line, "answered_ms");
  CHECK_TEXT(ordered_ms >= 900 && ordered_ms <= 1800, line.c_str());
  // Each write has 300 ms, and most of them are left behind its answer.
  CHECK_TEXT(answered_ms >= ordered_ms + 200 && answered_ms <= ordered_ms + 310,
             line.c_str());
}

TEST(CommitHoldLog, AHoldIsLoggedFromItsBeginningToTheProof) {
  // Guards against callers that wait without a line that says for what.
  CapturedLog log;
  HeldService service(1);
  const std::string& successor = service.GetGroup().GetId(kSuccessor);
  const uint64_t writer = service.Open(0);
  service.Run(writer, "w1", "WRITE groyne-1 x");
  STRCMP_EQUAL("", log.FindLast(" commits.hold ").c_str());
  service.Hold(std::nullopt);
  std::string line = log.FindLast(" commits.hold ");
  CHECK_TEXT(HasField(line, "successor=none") && HasField(line, "state=begun"),
             line.c_str());
  service.Hold(kSuccessor);
  line = log.FindLast(" commits.hold ");
  CHECK_TEXT(HasField(line, "successor=" + successor) &&
                 HasField(line, "state=successor_changed"),
             line.c_str());
  service.Promote(kSuccessor);
  service.Advance(milliseconds(900));
  service.Run(writer, "w2", "WRITE groyne-1 x");
  line = log.FindLast(" commits.hold ");
  CHECK_TEXT(HasField(line, "successor=" + successor) &&
                 HasField(line, "state=ended") &&
                 HasField(line, "reason=proof"),
             line.c_str());
  const int64_t held_ms = ReadField(line, "held_ms");
  CHECK_TEXT(held_ms >= 1000 && held_ms <= 1200, line.c_str());
}

TEST(CommitHoldLog, AReadAtAFormerPrimaryIsNoProofThatItLeads) {
  // Guards against a replica's answer to a plain read that passes for one of
  // the primary because the connection once held a transaction.
  CapturedLog log;
  HeldService service(1);
  std::vector<uint64_t> sessions;
  for (size_t n = 0; n < 4; ++n) {
    sessions.push_back(service.Open(0));
    service.Send(sessions.back(), "b" + std::to_string(n), "BEGIN");
    service.Run(sessions.back(), "q" + std::to_string(n), "READ groyne-1");
  }
  service.GetSimulation().GetCore(0).AnnouncePrimary(
      ServiceId{service.GetSimulation().GetService()},
      EndpointId{service.GetGroup().GetId(kSuccessor)});
  for (const uint64_t it : sessions) {
    service.Run(it, "c", "COMMIT");
  }
  service.Promote(kSuccessor);
  service.Advance(milliseconds(1500));
  CHECK(service.GetGroup().HasPrimaryRole(kSuccessor));
  service.Run(service.Open(0), "next", "WRITE groyne-1 y");
  const std::string former = service.GetGroup().GetId(kFormer);
  for (size_t n = 0; n < 20; ++n) {
    service.Run(service.Open(0, "lookups"), "r" + std::to_string(n),
                "READ groyne-1");
  }
  CHECK(log.FindLast(
               "leader.proven service=" + service.GetSimulation().GetService() +
               " endpoint=" + former + " term=2")
            .empty());
  CHECK(std::any_of(service.GetGroup().GetExecutedStatements().begin(),
                    service.GetGroup().GetExecutedStatements().end(),
                    [&](const ExecutedStatement& it) {
                      return it.endpoint == former &&
                             it.request.starts_with("r");
                    }));
}

}  // namespace magnoliareel
