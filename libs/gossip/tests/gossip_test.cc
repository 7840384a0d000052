#include "gossip/gossip.h"

#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

TEST_GROUP(Gossip){};

TEST(Gossip, DecodesAnEncodedHeartbeat) {
  Heartbeat sent;
  sent.vm.value = "vm-1";
  sent.site.value = "sava-krsko";
  sent.address = {"10.1.0.8", 7440};
  sent.config_version = 12;
  sent.endpoints_version = 34;
  sent.leaving = true;
  sent.suspicions = {{EndpointId{"db-1"}, EndpointCondition::kSilent}};
  sent.duties = {{ServiceId{"logs"}, 5}};
  sent.promotions = {{ServiceId{"logs"}, EndpointId{"db-2"}, 6}};
  sent.replacements = {{ServiceId{"logs"}, EndpointId{}, 6},
                       {ServiceId{"books"}, EndpointId{"db-3"}, 7}};
  sent.others = {{"10.1.0.9", 7440}};
  Heartbeat read;
  CHECK(DecodeHeartbeat(EncodeHeartbeat(sent), read));
  CHECK(read.vm == sent.vm && read.site == sent.site);
  CHECK(read.address == sent.address && read.leaving);
  LONGS_EQUAL(12, read.config_version);
  LONGS_EQUAL(34, read.endpoints_version);
  CHECK(read.suspicions.front().endpoint.value == "db-1");
  CHECK(read.suspicions.front().condition == EndpointCondition::kSilent);
  CHECK(read.duties == sent.duties && read.promotions == sent.promotions);
  CHECK(read.replacements == sent.replacements);
  CHECK(read.others == sent.others);
}

TEST(Gossip, RejectsHeartbeatsWithFieldsThatAreNotWords) {
  // A field with a line's end or without text was accepted and sent on to the
  // other VMs, in heartbeats that they rejected as a whole.
  Heartbeat read;
  CHECK(DecodeHeartbeat("mr1 vm-1 a 10.1.0.8:7440 1 2 0 d logs 5", read));
  for (const char* it :
       {"mr1 vm-1  10.1.0.8:7440 1 2 0", "mr1 vm\t1 a 10.1.0.8:7440 1 2 0",
        "mr1 vm-1 a 10.1.0.8:7440 1 2 0 s  0",
        "mr1 vm-1 a 10.1.0.8:7440 1 2 0 d  5",
        "mr1 vm-1 a 10.1.0.8:7440 1 2 0 d lo\ngs 5",
        "mr1 vm-1 a 10.1.0.8:7440 1 2 0 l  db-2 6",
        "mr1 vm-1 a 10.1.0.8:7440 1 2 0 r logs  6"}) {
    CHECK_TEXT(!DecodeHeartbeat(it, read), it);
  }
  // An address with a NUL was taken for the part before it.
  const std::string text("mr1 vm-1 a 10.1.0.8\0x:7440 1 2 0", 32);
  CHECK(!DecodeHeartbeat(text, read));
}

TEST(Gossip, DecodesEncodedDepartureNotices) {
  const std::vector<DepartureNotice> sent = {
      {ServiceId{"logs"}, EndpointId{"db-1"}, true},
      {ServiceId{"logs"}, EndpointId{"db-2"}, false}};
  std::vector<DepartureNotice> read;
  CHECK(DecodeDepartureNotices(EncodeDepartureNotices(sent), read));
  CHECK(read == sent);
  for (const char* it : {"", "mrd1 logs", "mrd1 logs db-1", "mrd1 logs db-1 2",
                         "mrd2 logs db-1 1", "mrd1 logs  1"}) {
    CHECK_TEXT(!DecodeDepartureNotices(it, read), it);
  }
}

TEST(Gossip, DecodesEncodedForwardedCommands) {
  for (const EndpointCommand& it :
       {EndpointCommand{EndpointCommandKind::kReport, {}},
        EndpointCommand{EndpointCommandKind::kDemote, Term{4}}}) {
    const ForwardedCommand sent{
        8, {"10.1.0.8", 7440}, EndpointId{"db-1"}, it, Duration(300'000)};
    ForwardedCommand read;
    CHECK(DecodeForwardedCommand(EncodeForwardedCommand(sent), read));
    CHECK(read == sent);
  }
  // A pause is not forwarded: a late copy of it could not be undone.
  for (const char* it :
       {"", "mrc1 8", "mrc1 8 10.1.0.8:7440 db-1 p 4 300000",
        "mrc1 8 10.1.0.8:7440  r 0 300000", "mrc1 8 10.1.0.8:7440 db-1 r 0",
        "mrc1 8 10.1.0.8:7440 db-1 r 0 -5",
        "mrc1 8 10.1.0.8:7440 db-1 r 0 5 6"}) {
    ForwardedCommand read;
    CHECK_TEXT(!DecodeForwardedCommand(it, read), it);
  }
}

TEST(Gossip, DecodesEncodedForwardedCommandResponses) {
  ForwardedCommandResponse sent;
  sent.id = 8;
  sent.vm.value = "vm-1";
  sent.result = ForwardedCommandResult::kAnswered;
  sent.status.is_primary = true;
  sent.status.term = Term{3};
  sent.status.received = {Term{3}, LogPosition{1207}};
  sent.status.paused_at = Term{2};
  sent.status.lag = Duration(5000);
  ForwardedCommandResponse read;
  CHECK(DecodeForwardedCommandResponse(EncodeForwardedCommandResponse(sent),
                                       read));
  CHECK(read.id == 8 && read.vm == sent.vm && read.result == sent.result);
  CHECK(read.status.is_primary && read.status.term == sent.status.term);
  CHECK(read.status.received == sent.status.received);
  CHECK(read.status.paused_at == sent.status.paused_at);
  CHECK(read.status.lag == sent.status.lag);
  sent.result = ForwardedCommandResult::kStopped;
  CHECK(DecodeForwardedCommandResponse(EncodeForwardedCommandResponse(sent),
                                       read));
  CHECK(read.result == ForwardedCommandResult::kStopped);
  for (const char* it : {"", "mrs1 8 vm-1", "mrs1 8 vm-1 5 1 3 3 1207 2 5000",
                         "mrs1 8 vm-1 0 2 3 3 1207 2 5000",
                         "mrs1 8 vm-1 0 1 3 3 1207 2 5000 1"}) {
    CHECK_TEXT(!DecodeForwardedCommandResponse(it, read), it);
  }
}

TEST(Gossip, DecodesEncodedAnsweredCommitMessages) {
  const AnsweredCommitQuery query{8, {"10.1.0.8", 7440}, ServiceId{"logs"}};
  AnsweredCommitQuery read_query;
  CHECK(
      DecodeAnsweredCommitQuery(EncodeAnsweredCommitQuery(query), read_query));
  CHECK(read_query == query);
  AnsweredCommitResponse read;
  for (const std::optional<LogPoint>& it :
       {std::optional<LogPoint>(LogPoint{Term{3}, LogPosition{1207}}),
        std::optional<LogPoint>()}) {
    const AnsweredCommitResponse sent{8, VmId{"vm-1"}, it};
    CHECK(
        DecodeAnsweredCommitResponse(EncodeAnsweredCommitResponse(sent), read));
    CHECK(read == sent);
  }
  for (const char* it :
       {"", "mrw1", "mrw1 8 10.1.0.8:7440", "mrw1 x 10.1.0.8:7440 logs",
        "mrw1 8 10.1.0.8 logs", "mrw1 8 10.1.0.8:7440 logs 1"}) {
    CHECK_TEXT(!DecodeAnsweredCommitQuery(it, read_query), it);
  }
  for (const char* it : {"", "mrv1", "mrv1 8", "mrv1 x vm-1", "mrv1 8 vm-1 3",
                         "mrv1 8 vm-1 3 x", "mrv1 8 vm-1 3 1207 1"}) {
    CHECK_TEXT(!DecodeAnsweredCommitResponse(it, read), it);
  }
}

TEST(Gossip, DecodesEncodedDutyRows) {
  const GroupRecord with_primary{
      EndpointId{"db-1"}, Term{3}, {EndpointId{"db-1"}, EndpointId{"db-2"}}};
  for (const GroupRecord& it : {GroupRecord{}, with_primary}) {
    DutyRow read;
    CHECK(TextDutyRowCodec::Decode(TextDutyRowCodec::Encode({VmId{"vm-1"}, it}),
                                   read));
    CHECK(read.holder == VmId{"vm-1"} && read.group == it);
  }
}

TEST(Gossip, DecodesDutyRowsOfEarlierVersions) {
  DutyRow read;
  CHECK(TextDutyRowCodec::Decode("vm-1", read));
  CHECK(read.holder == VmId{"vm-1"} && read.group == GroupRecord{});
}

TEST(Gossip, RejectsMalformedDutyRows) {
  for (const char* it :
       {"", " mrg1 db-1 3", "vm-1 mrg2 db-1 3", "vm-1 mrg1", "vm-1 mrg1 db-1",
        "vm-1 mrg1 db-1 x", "vm-1 mrg1 db-1 3 db-1  db-2", "vm-1 mrg1  3"}) {
    DutyRow read;
    CHECK_TEXT(!TextDutyRowCodec::Decode(it, read), it);
  }
}

TEST(Gossip, DecodesEncodedFreshnessBoundMessages) {
  const FreshnessBoundRequest sent{
      7,
      {"10.1.0.8", 7440},
      {ServiceId{"logs"}, std::chrono::milliseconds(375)}};
  FreshnessBoundRequest request;
  CHECK(
      DecodeFreshnessBoundRequest(EncodeFreshnessBoundRequest(sent), request));
  CHECK(request.id == 7 && request.address == sent.address);
  CHECK(request.query.service == sent.query.service);
  CHECK(request.query.max_bound_age == sent.query.max_bound_age);
  const FreshnessBoundResponse answer{
      7, {ServiceId{"logs"}, {Term{2}, LogPosition{91}}, Duration(1200)}};
  FreshnessBoundResponse response;
  CHECK(DecodeFreshnessBoundResponse(EncodeFreshnessBoundResponse(answer),
                                     response));
  CHECK(response.id == 7 && response.bound.service == answer.bound.service);
  CHECK(response.bound.point == answer.bound.point);
  CHECK(response.bound.age == answer.bound.age);
  for (const char* it : {"", "mra1", "mra1 7 logs 2 91", "mra1 7 logs 2 x 5",
                         "mra1 7 logs 2 91 -5", "mr1 a b c"}) {
    CHECK(!DecodeFreshnessBoundResponse(it, response));
    CHECK(!DecodeFreshnessBoundRequest(it, request));
  }
}

TEST(Gossip, DecodesAnEncodedFleetState) {
  FleetState sent;
  sent.config = StoredRow{"config", "{\"a\":\"b\\n\"}", 7, false};
  sent.endpoints = {{"db-1", "{}", 9, false}};
  sent.endpoints_version = 11;
  FleetState read;
  CHECK(DecodeFleetState(EncodeFleetState(sent), read));
  CHECK(read.config->value == sent.config->value);
  LONGS_EQUAL(9, read.endpoints.front().version);
  LONGS_EQUAL(11, read.endpoints_version);
}

TEST(Gossip, DecodesAnEncodedNodeStatus) {
  NodeStatus sent;
  sent.vm.value = "vm-1";
  sent.ready = true;
  sent.config_version = 12;
  sent.live_vms = 6;
  sent.duties = {{ServiceId{"logs"}, 5}};
  sent.primaries = {{ServiceId{"logs"}, EndpointId{"db-1"}}};
  NodeStatus read;
  CHECK(DecodeNodeStatus(EncodeNodeStatus(sent), read));
  CHECK(read.ready && read.vm == sent.vm && read.duties == sent.duties);
  LONGS_EQUAL(12, read.config_version);
  CHECK(read.primaries.front().endpoint.value == "db-1");
  CHECK(!DecodeNodeStatus("{}", read));
}

TEST(Gossip, DecodesEncodedPermitDatagrams) {
  PermitRequestDatagram request;
  CHECK(DecodePermitRequest(
      EncodePermitRequest({{"10.1.0.8", 7440}, {TeamId{"team-a"}, 5, 77}}),
      request));
  LONGS_EQUAL(7440, request.reply_to.port);
  LONGS_EQUAL(5, request.request.count);
  LONGS_EQUAL(77, request.request.sequence);
  STRCMP_EQUAL("team-a", request.request.team.value.c_str());
  PermitGrantDatagram grant;
  const std::string bytes =
      EncodePermitGrant({VmId{"vm-1"}, {TeamId{"team-a"}, 0, 77}});
  CHECK(DecodePermitGrant(bytes, grant));
  STRCMP_EQUAL("vm-1", grant.vm.value.c_str());
  LONGS_EQUAL(77, grant.grant.sequence);
  SlotRequestDatagram slot;
  CHECK(DecodeSlotRequest(EncodeSlotRequest({VmId{"vm-1"}}), slot));
  STRCMP_EQUAL("vm-1", slot.vm.value.c_str());
  // Each datagram is read as one kind only.
  CHECK(!DecodePermitRequest(bytes, request) &&
        !DecodeSlotRequest(bytes, slot));
  CHECK(!DecodePermitGrant(bytes + " more", grant));
  CHECK(!DecodePermitGrant("mry1 1 vm-1 4294967296 team-a", grant));
}

TEST(Gossip, DecodesAnEncodedSlotRow) {
  SlotAssignment sent;
  sent.owners = {{VmId{"vm-1"}, 0}, {VmId{"vm-2"}, 17}, {}, {VmId{"vm-1"}, 0}};
  SlotAssignment read;
  CHECK(TextSlotRowCodec::Decode(TextSlotRowCodec::Encode(sent), read));
  CHECK(sent == read);
  // VMs would divide a budget differently if they took a damaged row.
  sent.owners.pop_back();
  CHECK(!TextSlotRowCodec::Decode(TextSlotRowCodec::Encode(sent), read));
  CHECK(!TextSlotRowCodec::Decode("", read));
  CHECK(!TextSlotRowCodec::Decode("vm-1 0 vm-2 0", read));
}

TEST(Gossip, RefusesDeeplyNestedJson) {
  const std::string deep = "{\"endpoints\":" + std::string(5000, '[');
  FleetState state;
  NodeStatus status;
  CHECK(!DecodeFleetState(deep, state));
  CHECK(!DecodeNodeStatus(deep, status));
}

TEST(Gossip, DecodesRandomlyDamagedBytesWithoutACrash) {
  Heartbeat sent;
  sent.vm.value = "vm-1";
  sent.site.value = "sava-krsko";
  sent.address = {"10.1.0.8", 7440};
  sent.duties = {{ServiceId{"logs"}, 5}};
  FleetState state;
  state.endpoints = {{"db-1", "{}", 9, false}};
  std::mt19937 random(7);
  for (int n = 0; n < 20000; ++n) {
    std::string bytes =
        n % 2 == 0 ? EncodeHeartbeat(sent) : EncodeFleetState(state);
    for (int k = 0; k < 3; ++k) {
      bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
    }
    bytes.resize(random() % (bytes.size() + 1));
    Heartbeat heartbeat;
    FleetState read;
    DecodeHeartbeat(bytes, heartbeat);
    DecodeFleetState(bytes, read);
  }
}

}  // namespace magnoliareel
