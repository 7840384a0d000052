#include "standins/site/site_server.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "net/net.h"

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

constexpr uint16_t kPort = 28950;

// Sends one call and collects the answer.
struct Caller {
  Stream stream;
  std::string answer;

  void HandleOpened() {}
  void HandleBytes(std::string_view bytes) { answer.append(bytes); }
  void HandleClosed(std::error_code) {}
};

}  // namespace

TEST_GROUP(SiteServer) {
  void setup() override {
    CHECK_FALSE(site_.Start());
    site_.SetPromotionObserver([this](const PromotionCall& call) {
      call_ = call;
      return delay_;
    });
  }

  // Calls for the promotion of the second database.
  void CallPromotion(uint64_t token) {
    const std::string body =
        R"({"service":"groyne-logs","id":"groyne-logs-2"})";
    caller_.stream.Connect(loop_, {"127.0.0.1", kPort}, caller_);
    RunFor(milliseconds(50));
    caller_.stream.Append(
        "POST /promote HTTP/1.1\r\nHost: site\r\nHolder: node-3\r\n"
        "Fencing-Token: " +
        std::to_string(token) + "\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    caller_.stream.Flush();
  }

  // Sends bytes to one of the site's ports and returns what came back.
  std::string Exchange(uint16_t port, std::string_view bytes) {
    Caller caller;
    caller.stream.Connect(loop_, {"127.0.0.1", port}, caller);
    RunFor(milliseconds(50));
    caller.stream.Append(bytes);
    caller.stream.Flush();
    RunFor(milliseconds(300));
    return caller.answer;
  }

  void RunFor(Duration duration) {
    RunLater(loop_, duration, [this] { loop_.Stop(); });
    loop_.Run();
  }

  EventLoop loop_;
  SiteServer site_{loop_, {"127.0.0.1", kPort, 0, {}}};
  Caller caller_;
  PromotionCall call_;
  Duration delay_{};
};

TEST(SiteServer, CarriesOutAPromotionAndNamesItsHolder) {
  CallPromotion(5);
  RunFor(milliseconds(400));
  CHECK_TRUE(caller_.answer.starts_with("HTTP/1.1 200"));
  STRCMP_EQUAL("node-3", call_.holder.c_str());
  STRCMP_EQUAL("groyne-logs-2", call_.endpoint.c_str());
  LONGS_EQUAL(5, call_.fencing_token);
  CHECK_TRUE(site_.GetGroup().HasPrimaryRole(1));
}

TEST(SiteServer, CarriesOutALatePromotionWithoutAnAnswer) {
  delay_ = milliseconds(300);
  CallPromotion(5);
  RunFor(milliseconds(200));
  CHECK_TRUE(site_.GetGroup().HasPrimaryRole(0));
  RunFor(milliseconds(500));
  CHECK_TRUE(site_.GetGroup().HasPrimaryRole(1));
  CHECK_TRUE(caller_.answer.empty());
}

TEST(SiteServer, ChecksTheFenceOfALatePromotionWhenItIsCarriedOut) {
  delay_ = milliseconds(300);
  CallPromotion(5);
  RunFor(milliseconds(100));
  delay_ = {};
  caller_.stream.Close();
  CallPromotion(6);
  RunFor(milliseconds(700));
  CHECK_TRUE(caller_.answer.starts_with("HTTP/1.1 200"));
  LONGS_EQUAL(1, site_.GetGroup().GetPromotions().size());
}

TEST(SiteServer, AConnectionOnWhichAnAnswerWasLostDeliversNothingMore) {
  const std::string request =
      "GET /v1/rows-get?table=op&part= HTTP/1.1\r\nHost: site\r\n\r\n";
  caller_.stream.Connect(loop_, {"127.0.0.1", kPort}, caller_);
  RunFor(milliseconds(50));
  CHECK_TRUE(site_.InjectFault("mute"));
  caller_.stream.Append(request);
  caller_.stream.Flush();
  RunFor(milliseconds(100));
  CHECK_TRUE(site_.InjectFault("speak"));
  caller_.stream.Append(request);
  caller_.stream.Flush();
  RunFor(milliseconds(100));
  CHECK_TRUE(caller_.stream.IsOpen());
  STRCMP_EQUAL("", caller_.answer.c_str());
  STRCMP_CONTAINS("HTTP/1.1 200", Exchange(kPort, request).c_str());
}

TEST(SiteServer, ListsTheShapesThatItsDatabasesRan) {
  Exchange(kPort + 1,
           "STARTUP groyne-logs tester\r\nQUERY a SET zone north\r\n"
           "QUERY b PREPARE s1 READ q12 of two\r\n"
           "QUERY c EXECUTE s1 it\r\nQUERY d WRITE it \"x\"\r\n");
  const std::string answer =
      Exchange(kPort, "GET /executed HTTP/1.1\r\nHost: site\r\n\r\n");
  for (const char* it :
       {R"({"connection":1,"database":"groyne-logs-1","id":"c","name":"s1",)"
        R"("shape":"READ q12 of two","text":"EXECUTE s1 it","transaction":0,)"
        R"("values":{"zone":"north"}})",
        R"("name":"","shape":"","text":"WRITE it \"x\"")", R"("prepares":1,)",
        R"("max_names":1,)"}) {
    CHECK_TRUE_TEXT(answer.find(it) != std::string::npos, answer.c_str());
  }
}

TEST(SiteServer, ItsDatabasesRefuseOrForgetPreparedStatements) {
  const std::string lines =
      "STARTUP groyne-logs tester\r\nQUERY a PREPARE s1 READ q12\r\n"
      "QUERY b SET zone north\r\n";
  CHECK_TRUE(site_.InjectFault("refuse"));
  STRCMP_CONTAINS(
      "ERROR FAILED groyne-logs-1\r\nREADY I 1.0\r\n"
      "ERROR FAILED groyne-logs-1\r\n",
      Exchange(kPort + 1, lines).c_str());
  CHECK_TRUE(site_.InjectFault("accept"));
  CHECK_TRUE(site_.InjectFault("oblivious"));
  std::string executions;
  for (int it = 0; it < 8; ++it) {
    executions += "QUERY e EXECUTE s1 it\r\n";
  }
  STRCMP_CONTAINS("ERROR NOSTMT",
                  Exchange(kPort + 1, lines + executions).c_str());
  CHECK_TRUE(site_.InjectFault("attentive"));
  CHECK_TRUE(Exchange(kPort + 1, lines + executions).find("ERROR") ==
             std::string::npos);
}

}  // namespace magnoliareel
