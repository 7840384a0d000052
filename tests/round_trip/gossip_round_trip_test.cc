#include <string>
#include <vector>

#include "gossip/gossip.h"
#include "tests/round_trip/generators.h"

namespace magnoliareel {
namespace {

template <class T>
std::vector<T> GenList(const rc::Gen<T>& gen) {
  return *rc::gen::resize(4, rc::gen::container<std::vector<T>>(gen));
}

rc::Gen<EndpointId> GenEndpoint() {
  return GenId<EndpointId>();
}

rc::Gen<ServiceId> GenService() {
  return GenId<ServiceId>();
}

/** @returns an endpoint that no encoding uses for "none", or none */
rc::Gen<EndpointId> GenOptionalEndpoint() {
  return rc::gen::oneOf(rc::gen::just(EndpointId{}),
                        rc::gen::map(GenWord(), [](const std::string& text) {
                          return EndpointId{text == "-" ? "db-1" : text};
                        }));
}

/** @returns any text that is UTF-8, as JSON requires */
rc::Gen<std::string> GenUtf8Text() {
  return rc::gen::map(GenText(), [](std::string text) {
    std::erase_if(text, [](char c) { return static_cast<signed char>(c) < 0; });
    return text + "\xc5\xbeivo";
  });
}

}  // namespace

TEST_GROUP(GossipRoundTrip){};

TEST(GossipRoundTrip, Heartbeats) {
  CheckProperty("heartbeats", [] {
    Heartbeat sent;
    sent.vm.value = *GenWord();
    sent.site.value = *GenWord();
    sent.address = *GenAddress();
    sent.forwarding_port = *rc::gen::arbitrary<uint16_t>();
    sent.config_version = *GenNumber();
    sent.endpoints_version = *GenNumber();
    sent.leaving = *rc::gen::arbitrary<bool>();
    for (const EndpointId& it : GenList(GenEndpoint())) {
      sent.suspicions.push_back(
          {it, *rc::gen::element(EndpointCondition::kUnreachable,
                                 EndpointCondition::kSilent,
                                 EndpointCondition::kCommitsStalled)});
    }
    for (const ServiceId& it : GenList(GenService())) {
      sent.duties.push_back({it, *GenNumber()});
      sent.promotions.push_back({it, *GenEndpoint(), *GenNumber()});
      sent.replacements.push_back({it, *GenOptionalEndpoint(), *GenNumber()});
    }
    sent.others = GenList(GenAddress());
    Heartbeat read;
    RC_ASSERT(DecodeHeartbeat(EncodeHeartbeat(sent), read));
    RC_ASSERT(read.vm == sent.vm && read.site == sent.site);
    RC_ASSERT(read.address == sent.address);
    RC_ASSERT(read.forwarding_port == sent.forwarding_port);
    RC_ASSERT(read.config_version == sent.config_version);
    RC_ASSERT(read.endpoints_version == sent.endpoints_version);
    RC_ASSERT(read.leaving == sent.leaving);
    RC_ASSERT(read.suspicions.size() == sent.suspicions.size());
    for (size_t it = 0; it < read.suspicions.size(); ++it) {
      RC_ASSERT(read.suspicions[it].endpoint == sent.suspicions[it].endpoint);
      RC_ASSERT(read.suspicions[it].condition == sent.suspicions[it].condition);
    }
    RC_ASSERT(read.duties == sent.duties);
    RC_ASSERT(read.promotions == sent.promotions);
    RC_ASSERT(read.replacements == sent.replacements);
    RC_ASSERT(read.others == sent.others);
  });
}

TEST(GossipRoundTrip, DepartureNotices) {
  CheckProperty("departure notices", [] {
    std::vector<DepartureNotice> sent;
    for (const EndpointId& it : GenList(GenEndpoint())) {
      sent.push_back({*GenService(), it, *rc::gen::arbitrary<bool>()});
    }
    std::vector<DepartureNotice> read;
    RC_ASSERT(DecodeDepartureNotices(EncodeDepartureNotices(sent), read));
    RC_ASSERT(read == sent);
  });
}

TEST(GossipRoundTrip, DrainNotices) {
  CheckProperty("drain notices", [] {
    std::vector<DrainNotice> sent;
    for (const EndpointId& it : GenList(GenEndpoint())) {
      sent.push_back({it, *GenNumber(), *GenDuration()});
    }
    std::vector<DrainNotice> read;
    RC_ASSERT(DecodeDrainNotices(EncodeDrainNotices(sent), read));
    RC_ASSERT(read == sent);
  });
}

TEST(GossipRoundTrip, FeedConfirmations) {
  CheckProperty("feed confirmations", [] {
    const FeedConfirmation sent{*GenAddress(), *GenNumber(), *GenNumber(),
                                *GenNumber(), *GenDuration()};
    FeedConfirmation read;
    RC_ASSERT(DecodeFeedConfirmation(EncodeFeedConfirmation(sent), read));
    RC_ASSERT(read == sent);
  });
}

TEST(GossipRoundTrip, ForwardedCommands) {
  CheckProperty("forwarded commands", [] {
    ForwardedCommand sent;
    sent.id = *GenNumber();
    sent.reply_to = *GenAddress();
    sent.endpoint = *GenEndpoint();
    sent.command.kind = *rc::gen::element(EndpointCommandKind::kReport,
                                          EndpointCommandKind::kDemote);
    sent.command.term.value = *GenNumber();
    sent.timeout = *GenDuration();
    ForwardedCommand read;
    RC_ASSERT(DecodeForwardedCommand(EncodeForwardedCommand(sent), read));
    RC_ASSERT(read == sent);

    ForwardedCommandResponse answer;
    answer.id = *GenNumber();
    answer.vm = *GenId<VmId>();
    answer.result = *rc::gen::element(
        ForwardedCommandResult::kAnswered, ForwardedCommandResult::kBusy,
        ForwardedCommandResult::kNotSent, ForwardedCommandResult::kAnswerLost,
        ForwardedCommandResult::kStopped);
    answer.status.is_primary = *rc::gen::arbitrary<bool>();
    answer.status.term.value = *GenNumber();
    answer.status.received = *GenLogPoint();
    answer.status.paused_at.value = *GenNumber();
    answer.status.lag = *GenDuration();
    ForwardedCommandResponse read_answer;
    RC_ASSERT(DecodeForwardedCommandResponse(
        EncodeForwardedCommandResponse(answer), read_answer));
    RC_ASSERT(read_answer.id == answer.id && read_answer.vm == answer.vm);
    RC_ASSERT(read_answer.result == answer.result);
    const ReplicationStatus& status = read_answer.status;
    RC_ASSERT(status.is_primary == answer.status.is_primary);
    RC_ASSERT(status.term == answer.status.term);
    RC_ASSERT(status.received == answer.status.received);
    RC_ASSERT(status.paused_at == answer.status.paused_at);
    RC_ASSERT(status.lag == answer.status.lag);
  });
}

TEST(GossipRoundTrip, AnsweredCommits) {
  CheckProperty("answered commits", [] {
    const AnsweredCommitQuery query{*GenNumber(), *GenAddress(), *GenService()};
    AnsweredCommitQuery read_query;
    RC_ASSERT(DecodeAnsweredCommitQuery(EncodeAnsweredCommitQuery(query),
                                        read_query));
    RC_ASSERT(read_query == query);
    const AnsweredCommitResponse response{*GenNumber(), *GenId<VmId>(),
                                          *GenOptionalLogPoint()};
    AnsweredCommitResponse read;
    RC_ASSERT(DecodeAnsweredCommitResponse(
        EncodeAnsweredCommitResponse(response), read));
    RC_ASSERT(read == response);
  });
}

TEST(GossipRoundTrip, FreshnessBounds) {
  CheckProperty("freshness bounds", [] {
    const FreshnessBoundRequest request{
        *GenNumber(), *GenAddress(), {*GenService(), *GenDuration()}};
    FreshnessBoundRequest read;
    RC_ASSERT(DecodeFreshnessBoundRequest(EncodeFreshnessBoundRequest(request),
                                          read));
    RC_ASSERT(read.id == request.id && read.address == request.address);
    RC_ASSERT(read.query.service == request.query.service);
    RC_ASSERT(read.query.max_bound_age == request.query.max_bound_age);
    const FreshnessBoundResponse response{
        *GenNumber(), {*GenService(), *GenLogPoint(), *GenDuration()}};
    FreshnessBoundResponse read_response;
    RC_ASSERT(DecodeFreshnessBoundResponse(
        EncodeFreshnessBoundResponse(response), read_response));
    RC_ASSERT(read_response.id == response.id);
    RC_ASSERT(read_response.bound.service == response.bound.service);
    RC_ASSERT(read_response.bound.point == response.bound.point);
    RC_ASSERT(read_response.bound.age == response.bound.age);
  });
}

TEST(GossipRoundTrip, DutyRows) {
  CheckProperty("duty rows", [] {
    DutyRow sent;
    sent.holder = *GenId<VmId>();
    sent.group.primary = *GenOptionalEndpoint();
    sent.group.term.value = *GenNumber();
    sent.group.members = GenList(GenEndpoint());
    DutyRow read;
    RC_ASSERT(TextDutyRowCodec::Decode(TextDutyRowCodec::Encode(sent), read));
    RC_ASSERT(read.holder == sent.holder && read.group == sent.group);
  });
}

TEST(GossipRoundTrip, FleetStates) {
  CheckProperty("fleet states", [] {
    const auto gen_row = [] {
      return StoredRow{*GenUtf8Text(), *GenUtf8Text(), *GenNumber(), false};
    };
    FleetState sent;
    if (*rc::gen::arbitrary<bool>()) {
      sent.config = gen_row();
    }
    for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
      sent.endpoints.push_back(gen_row());
    }
    sent.endpoints_version = *GenNumber();
    FleetState read;
    RC_ASSERT(DecodeFleetState(EncodeFleetState(sent), read));
    RC_ASSERT(read.config.has_value() == sent.config.has_value());
    const auto check = [](const StoredRow& row, const StoredRow& expected) {
      RC_ASSERT(row.key == expected.key && row.value == expected.value);
      RC_ASSERT(row.version == expected.version);
    };
    if (sent.config) {
      check(*read.config, *sent.config);
    }
    RC_ASSERT(read.endpoints.size() == sent.endpoints.size());
    for (size_t it = 0; it < read.endpoints.size(); ++it) {
      check(read.endpoints[it], sent.endpoints[it]);
    }
    RC_ASSERT(read.endpoints_version == sent.endpoints_version);
  });
}

TEST(GossipRoundTrip, NodeStatuses) {
  CheckProperty("node statuses", [] {
    NodeStatus sent;
    sent.vm = *GenId<VmId>();
    sent.site = *GenId<SiteId>();
    sent.ready = *rc::gen::arbitrary<bool>();
    sent.config_version = *GenNumber();
    sent.sessions = *GenNumber();
    sent.live_vms = *rc::gen::arbitrary<uint32_t>();
    sent.duties = {{*GenService(), *GenNumber()}};
    sent.primaries = {{*GenService(), *GenEndpoint()}};
    NodeStatus read;
    RC_ASSERT(DecodeNodeStatus(EncodeNodeStatus(sent), read));
    RC_ASSERT(read.vm == sent.vm && read.site == sent.site);
    RC_ASSERT(read.ready == sent.ready);
    RC_ASSERT(read.config_version == sent.config_version);
    RC_ASSERT(read.sessions == sent.sessions);
    RC_ASSERT(read.live_vms == sent.live_vms);
    RC_ASSERT(read.duties == sent.duties);
    RC_ASSERT(read.primaries.size() == 1U);
    RC_ASSERT(read.primaries[0].service == sent.primaries[0].service);
    RC_ASSERT(read.primaries[0].endpoint == sent.primaries[0].endpoint);
  });
}

}  // namespace magnoliareel
