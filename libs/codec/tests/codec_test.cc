#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include "codec/codec.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

constexpr int kFuzzIterations = 10000;

/** Applies one to four random mutations to a text. */
std::string Mutate(std::string text, std::mt19937_64& random) {
  static const std::vector<std::string> fragments = {
      "{",       "}",    "[",       "]",
      "\"",      ",",    ":",       "null",
      "true",    "-1",   "1e999",   "99999999999999999999",
      "\\u0000", "\xff", "{\"a\":", "\"token\":",
      "0"};
  const size_t mutation_count = 1 + random() % 4;
  for (size_t n = 0; n < mutation_count; ++n) {
    const size_t offset = text.empty() ? 0 : random() % text.size();
    switch (random() % 4) {
      case 0:
        text.insert(offset, fragments[random() % fragments.size()]);
        break;
      case 1:
        text.erase(offset, 1 + random() % 8);
        break;
      case 2:
        if (!text.empty()) {
          text[offset] = static_cast<char>(random() % 256);
        }
        break;
      default:
        text.insert(offset, text.substr(offset, random() % 16));
    }
  }
  return text;
}

/** Parses mutated texts. Every text must either be accepted or yield findings
    that have an error code and a message. More than a quarter must be rejected,
    so that a parser which accepts everything fails the test. */
template <class Parse>
void Fuzz(const std::string& valid, uint64_t seed, Parse parse) {
  std::mt19937_64 random(seed);
  int rejected = 0;
  for (int n = 0; n < kFuzzIterations; ++n) {
    Findings findings;
    parse(Mutate(valid, random), findings);
    rejected += findings.IsEmpty() ? 0 : 1;
    for (const Finding& it : findings.GetList()) {
      CHECK(it.code && !it.message.empty());
    }
  }
  CHECK(rejected > kFuzzIterations / 4);
}

std::string MakeDocumentText() {
  return R"({"services":[{"name":"logs","groups":[{"name":"a","endpoints":[
    {"name":"a1","site":"x","slots":5,"connections":32},
    {"name":"a2","site":"y","slots":5,"connections":32},
    {"name":"a3","site":"z","slots":5,"connections":32}]}]}],
    "callers":[{"name":"crew","key_hashes":[")" +
         std::string(64, 'a') + R"("],"services":["logs"]}]})";
}

PoolerRequest MakePoolerRequest() {
  PoolerRequest request;
  request.verb = PoolerVerb::kRead;
  request.request.value = "r-1";
  request.caller.value = "crew";
  request.group.value = "a";
  request.endpoint.value = "a1";
  request.statement = "get \"x\"\n";
  request.required = {{3}, {44}};
  request.max_age = std::chrono::milliseconds(1500);
  request.deadline = std::chrono::milliseconds(250);
  request.work_class = WorkClass::kLong;
  return request;
}

EndpointAnswer MakeEndpointAnswer() {
  EndpointAnswer answer;
  answer.request = "crew/r-1";
  answer.answer = "ok";
  answer.point = {{2}, {9}};
  answer.report = {
      EndpointRole::kPrimary, {2}, {{2}, {9}}, {{{1}, {0}}, {{2}, {5}}}, true};
  answer.records = {{{2}, "crew/r-0", {"put a b", "append c d"}, "committed"}};
  return answer;
}

}  // namespace

TEST_GROUP(CallerCodec) {
  Findings findings;
};

TEST(CallerCodec, ParsesAStatement) {
  const CallerRequest request = ParseCallerRequest(
      CallerVerb::kRead,
      R"({"request_id":"r","token":"t","kind":"write","record":"k","statement":"put k v",
          "idempotent":true,"class":"long","deadline_ms":70})",
      findings);
  LONGS_EQUAL(0, findings.GetList().size());
  CHECK(request.verb == CallerVerb::kWrite);
  CHECK(request.is_idempotent);
  CHECK(request.work_class == WorkClass::kLong);
  CHECK(request.deadline == std::chrono::milliseconds(70));
}

TEST(CallerCodec, ReportsEveryFaultWithAJsonPointer) {
  ParseCallerRequest(
      CallerVerb::kRead,
      R"({"request_id":7,"kind":"delete","statement":"","colour":"red",
                         "max_age_ms":-1})",
      findings);
  STRCMP_EQUAL(
      "/request_id: wrong_type: expected a text\n"
      "/token: missing_field: must be given\n"
      "/kind: out_of_range: must be one of read, write\n"
      "/statement: out_of_range: must not be empty\n"
      "/max_age_ms: out_of_range: must be between 0 and 86400000\n"
      "/colour: unknown_field: no field of this name is known here\n",
      findings.FormatLines().c_str());
}

TEST(CallerCodec, RejectsTextThatIsNotAJsonObject) {
  for (const std::string text :
       {"", "[]", "7", "{\"a\":1}{", "{\"a\":1,\"a\":2}", "nul"}) {
    Findings text_findings;
    ParseCallerRequest(CallerVerb::kCommit, text, text_findings);
    CHECK(!text_findings.IsEmpty());
  }
  Findings nesting_findings;
  ParseCallerRequest(CallerVerb::kCommit, std::string(100000, '['),
                     nesting_findings);
  CHECK(!nesting_findings.IsEmpty());
}

TEST(CallerCodec, RequestsAndAnswersRoundTrip) {
  CallerRequest request;
  request.verb = CallerVerb::kRead;
  request.request.value = "r";
  request.token = "t";
  request.record_key = "k";
  request.statement = "get k";
  request.max_age = std::chrono::milliseconds(5);
  const CallerRequest read =
      ParseCallerRequest(*FindVerbForPath(GetPathForVerb(request.verb)),
                         FormatCallerRequest(request), findings);
  CHECK(findings.IsEmpty());
  CHECK(read.max_age == request.max_age);
  STRCMP_EQUAL("get k", read.statement.c_str());
  CallerAnswer answer;
  answer.request.value = "r";
  answer.outcome = Outcome::kUnknown;
  answer.ec = Error::kAnswerLost;
  answer.token = "t2";
  const CallerAnswer decoded =
      ParseCallerAnswer(FormatCallerAnswer(answer), findings);
  CHECK(findings.IsEmpty());
  CHECK(decoded.outcome == Outcome::kUnknown);
  CHECK(decoded.ec == Error::kAnswerLost);
  STRCMP_EQUAL("t2", decoded.token.c_str());
}

TEST_GROUP(MessageCodecs) {
  Findings findings;
};

TEST(MessageCodecs, PoolerMessagesRoundTrip) {
  const PoolerRequest request = MakePoolerRequest();
  const PoolerRequest decoded =
      ParsePoolerRequest(FormatPoolerRequest(request), findings);
  CHECK(findings.IsEmpty());
  STRCMP_EQUAL(FormatPoolerRequest(request).c_str(),
               FormatPoolerRequest(decoded).c_str());
  PoolerAnswer answer;
  answer.request.value = "r-1";
  answer.outcome = Outcome::kDone;
  answer.point = {{3}, {45}};
  answer.primary.value = "a1";
  answer.primary_term.value = 3;
  answer.holders = {{"a1"}, {"a2"}};
  const PoolerAnswer decoded_answer =
      ParsePoolerAnswer(FormatPoolerAnswer(answer), findings);
  CHECK(findings.IsEmpty());
  STRCMP_EQUAL(FormatPoolerAnswer(answer).c_str(),
               FormatPoolerAnswer(decoded_answer).c_str());
}

TEST(MessageCodecs, EndpointMessagesRoundTrip) {
  const EndpointAnswer answer = MakeEndpointAnswer();
  const EndpointAnswer decoded =
      ParseEndpointAnswer(FormatEndpointAnswer(answer), findings);
  CHECK(findings.IsEmpty());
  STRCMP_EQUAL(FormatEndpointAnswer(answer).c_str(),
               FormatEndpointAnswer(decoded).c_str());
  EndpointCall call;
  call.verb = EndpointVerb::kFollow;
  call.term.value = 8;
  call.client = "vm-1";
  call.primary_address = "127.0.0.1:5";
  call.wait = std::chrono::milliseconds(500);
  const EndpointCall decoded_call =
      ParseEndpointCall(FormatEndpointCall(call), findings);
  CHECK(findings.IsEmpty());
  STRCMP_EQUAL(FormatEndpointCall(call).c_str(),
               FormatEndpointCall(decoded_call).c_str());
}

TEST(MessageCodecs, PlatformRowsRoundTrip) {
  const GrantRow row = {{{{"vm-1"}, "i-1", {4}}, {{"vm-2"}, "i-2", {5}}}, {5}};
  CHECK(ParseGrantRow(FormatGrantRow(row), findings) == row);
  const DocumentHead head = {7, "abc", "ana", "op-1"};
  CHECK(ParseDocumentHead(FormatDocumentHead(head), findings) == head);
  const std::vector<VmEntry> vms = {
      {{"vm-1"}, {"x"}, "127.0.0.1:1", "127.0.0.1:2", true}};
  CHECK(ParseVmList(FormatVmList(vms), findings) == vms);
  CHECK(findings.IsEmpty());
}

TEST(MessageCodecs, HistoriesRoundTripAndFaultsNameTheirLine) {
  const Operation operation = {"r",
                               "s",
                               OperationKind::kTransaction,
                               {{"k", "v"}},
                               Outcome::kDone,
                               {"a", "b"},
                               5,
                               9,
                               8};
  const std::string line = FormatOperation(operation);
  const auto decoded = ParseHistory(line + "\n", findings);
  CHECK(findings.IsEmpty());
  STRCMP_EQUAL(line.c_str(), FormatOperation(decoded.at(0)).c_str());
  ParseHistory(line + "\n{}\n", findings);
  CHECK(findings.GetList().front().place == "line 2/request");
}

TEST_GROUP(DocumentCodec) {
  Findings findings;
};

TEST(DocumentCodec, AcceptsAValidDocument) {
  const Document document = ParseDocument(MakeDocumentText(), findings);
  STRCMP_EQUAL("", findings.FormatLines().c_str());
  LONGS_EQUAL(3, document.FindGroup({"a"})->endpoints.size());
}

TEST(DocumentCodec, AcceptsTheExampleDocuments) {
  for (const char* name : {"demo", "krajnc", "wspolna"}) {
    std::ifstream file(std::string(MAGNOLIAREEL_SOURCE_DIR "/examples/") +
                       name + ".json");
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    CHECK(!text.empty());
    ParseDocument(text, findings);
    STRCMP_EQUAL("", findings.FormatLines().c_str());
  }
}

TEST(DocumentCodec, ReportsFaultsAcrossTheWholeDocument) {
  ParseDocument(
      R"({"services":[{"name":"logs","groups":[{"name":"a","endpoints":[
      {"name":"a1","site":"x","slots":9,"connections":3},
      {"name":"a1","site":"y","slots":1,"connections":3}]}]}],
      "callers":[{"name":"crew","key_hashes":["zz"],"services":["other"]}]})",
      findings);
  STRCMP_EQUAL(
      "/services/0/groups/0/endpoints: out_of_range: a group needs at least 3 "
      "endpoints to survive "
      "the loss of one; add 1\n"
      "/services/0/groups/0/endpoints/0/slots: out_of_range: must not exceed "
      "connections (3)\n"
      "/services/0/groups/0/endpoints/1/name: duplicate_name: 'a1' is already "
      "used; choose another "
      "name\n"
      "/callers/0/key_hashes/0: out_of_range: must be 64 lower-case hex "
      "digits, the SHA-256 of the "
      "key\n"
      "/callers/0/services/0: unknown_name: no service is named 'other'\n",
      findings.FormatLines().c_str());
}

TEST(DocumentCodec, ReportsCallersWhoseRequestsCouldBeTakenForEachOther) {
  // An endpoint records request "7/r" of "crew" and request "r" of "crew/7"
  // under one name.
  const auto make_text = [](const std::string& name) {
    std::string text = MakeDocumentText();
    text.insert(text.size() - 2,
                R"(,{"name":")" + name + R"(","key_hashes":[")" +
                    std::string(64, 'b') + R"("],"services":["logs"]})");
    return text;
  };
  for (const char* it : {"crew-7", "the crew/7", "crews/7"}) {
    ParseDocument(make_text(it), findings);
    STRCMP_EQUAL("", findings.FormatLines().c_str());
  }
  ParseDocument(make_text("crew/7"), findings);
  STRCMP_EQUAL(
      "/callers/1/name: duplicate_name: requests of 'crew' could be taken for "
      "those of this caller; choose another name\n",
      findings.FormatLines().c_str());
}

TEST_GROUP(Fuzzing){};

TEST(Fuzzing, CallerRequests) {
  Fuzz(
      R"({"request_id":"r","token":"t","kind":"read","record":"k","statement":"get k",
           "max_age_ms":10,"class":"long","deadline_ms":70})",
      11, [](const std::string& text, Findings& findings) {
        ParseCallerRequest(CallerVerb::kRead, text, findings);
      });
}

TEST(Fuzzing, PoolerRequests) {
  Fuzz(FormatPoolerRequest(MakePoolerRequest()), 12,
       [](const std::string& text, Findings& findings) {
         ParsePoolerRequest(text, findings);
       });
}

TEST(Fuzzing, EndpointAnswers) {
  Fuzz(FormatEndpointAnswer(MakeEndpointAnswer()), 13,
       [](const std::string& text, Findings& findings) {
         ParseEndpointAnswer(text, findings);
       });
}

TEST(Fuzzing, Documents) {
  Fuzz(MakeDocumentText(), 14, [](const std::string& text, Findings& findings) {
    ParseDocument(text, findings);
  });
}

}  // namespace magnoliareel
