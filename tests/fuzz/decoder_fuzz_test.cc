#include <array>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/codec.h"
#include "forwarding/forwarding.h"
#include "gossip/gossip.h"
#include "platform/platform.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

constexpr uint64_t kDefaultInputs = 20'000;

/** A decoder of messages from outside the process, with the name of its corpus:
    a file with one valid or once harmful message a line. */
struct Decoder {
  const char* corpus;
  /** Decodes a message. Returns false if an accepted message does not survive
      encoding and decoding. */
  bool (*decode)(std::string_view bytes);
};

bool DecodesAgain(const std::string& encoded,
                  bool (*decode_and_encode)(std::string_view, std::string&)) {
  std::string again;
  return decode_and_encode(encoded, again) && again == encoded;
}

bool ReencodeHeartbeat(std::string_view bytes, std::string& out) {
  Heartbeat heartbeat;
  if (!DecodeHeartbeat(bytes, heartbeat)) {
    return false;
  }
  out = EncodeHeartbeat(heartbeat);
  return true;
}

bool ReencodeDepartures(std::string_view bytes, std::string& out) {
  std::vector<DepartureNotice> notices;
  if (!DecodeDepartureNotices(bytes, notices)) {
    return false;
  }
  out = EncodeDepartureNotices(notices);
  return true;
}

bool ReencodeDrains(std::string_view bytes, std::string& out) {
  std::vector<DrainNotice> notices;
  if (!DecodeDrainNotices(bytes, notices)) {
    return false;
  }
  out = EncodeDrainNotices(notices);
  return true;
}

bool ReencodeFeedConfirmation(std::string_view bytes, std::string& out) {
  FeedConfirmation confirmation;
  if (!DecodeFeedConfirmation(bytes, confirmation)) {
    return false;
  }
  out = EncodeFeedConfirmation(confirmation);
  return true;
}

bool ReencodeBoundRequest(std::string_view bytes, std::string& out) {
  FreshnessBoundRequest request;
  if (!DecodeFreshnessBoundRequest(bytes, request)) {
    return false;
  }
  out = EncodeFreshnessBoundRequest(request);
  return true;
}

bool ReencodeBoundResponse(std::string_view bytes, std::string& out) {
  FreshnessBoundResponse response;
  if (!DecodeFreshnessBoundResponse(bytes, response)) {
    return false;
  }
  out = EncodeFreshnessBoundResponse(response);
  return true;
}

bool ReencodeForwardedCommand(std::string_view bytes, std::string& out) {
  ForwardedCommand command;
  if (!DecodeForwardedCommand(bytes, command)) {
    return false;
  }
  out = EncodeForwardedCommand(command);
  return true;
}

bool ReencodeForwardedCommandResponse(std::string_view bytes,
                                      std::string& out) {
  ForwardedCommandResponse response;
  if (!DecodeForwardedCommandResponse(bytes, response)) {
    return false;
  }
  out = EncodeForwardedCommandResponse(response);
  return true;
}

bool ReencodeAnsweredCommitQuery(std::string_view bytes, std::string& out) {
  AnsweredCommitQuery query;
  if (!DecodeAnsweredCommitQuery(bytes, query)) {
    return false;
  }
  out = EncodeAnsweredCommitQuery(query);
  return true;
}

bool ReencodeAnsweredCommitResponse(std::string_view bytes, std::string& out) {
  AnsweredCommitResponse response;
  if (!DecodeAnsweredCommitResponse(bytes, response)) {
    return false;
  }
  out = EncodeAnsweredCommitResponse(response);
  return true;
}

/** Decodes, and compares the encoding of the result with that of a second
    decoding. */
template <bool (*kReencode)(std::string_view, std::string&)>
bool SurvivesEncoding(std::string_view bytes) {
  std::string encoded;
  return !kReencode(bytes, encoded) || DecodesAgain(encoded, kReencode);
}

bool DecodeWithFramer(std::string_view bytes) {
  platform::LineFramer framer;
  std::string lines;
  const auto append = [&lines](std::string_view line) {
    lines.append(line).append("\n");
    return true;
  };
  // The split must not change the lines.
  const size_t half = bytes.size() / 2;
  framer.Feed(bytes.substr(0, half), append);
  framer.Feed(bytes.substr(half), append);
  const std::string in_two_parts = std::exchange(lines, {});
  platform::LineFramer().Feed(bytes, append);
  return lines == in_two_parts;
}

constexpr auto kDecoders = std::to_array<Decoder>({
    {"framer", DecodeWithFramer},
    {"caller_lines",
     [](std::string_view bytes) {
       CallerMessage message;
       platform::LineDialect::DecodeCaller(bytes, message);
       return true;
     }},
    {"forwarded_lines",
     [](std::string_view bytes) {
       ForwardedMessage message;
       ForwardingCodec<platform::LineDialect>::DecodeForwarded(bytes, message);
       return true;
     }},
    {"endpoint_lines",
     [](std::string_view bytes) {
       EndpointMessage message;
       platform::LineDialect::DecodeEndpoint(bytes, message);
       return true;
     }},
    {"status_rows",
     [](std::string_view bytes) {
       ReplicationStatus status;
       return !platform::LineDialect::DecodeStatus(bytes, status) ||
              status.lag >= Duration(0);
     }},
    {"endpoint_entries",
     [](std::string_view bytes) {
       EndpointEntry entry;
       Findings findings;
       platform::RowCodec::ParseEndpoint("db-1", bytes, entry, findings);
       return !findings.IsEmpty() ||
              (entry.slots > 0 && !entry.service.IsEmpty());
     }},
    {"configurations",
     [](std::string_view bytes) {
       RouteTable routes;
       Findings findings;
       platform::RowCodec::ParseRoutes(bytes, routes, findings);
       return !findings.IsEmpty() ||
              (routes.version > 0 &&
               routes.transaction_idle_limit >= Duration(0));
     }},
    {"configurations",
     [](std::string_view bytes) {
       // Other VMs read the same teams from what this VM passes on.
       RouteTable read;
       RouteTable passed;
       Findings findings;
       platform::RowCodec::ParseRoutes(bytes, read, findings);
       if (!findings.IsEmpty()) {
         return true;
       }
       const std::string hidden = platform::RowCodec::HideKeys(bytes);
       platform::RowCodec::ParseRoutes(hidden, passed, findings);
       return findings.IsEmpty() &&
              hidden == platform::RowCodec::HideKeys(hidden) &&
              (read.teams == nullptr) == (passed.teams == nullptr) &&
              (read.teams == nullptr ||
               read.teams->List() == passed.teams->List());
     }},
    {"settings",
     [](std::string_view bytes) {
       NodeSettings settings;
       Findings findings;
       platform::ParseNodeSettings(bytes, settings, findings);
       return !findings.IsEmpty() || settings.stop_grace > Duration(0);
     }},
    {"heartbeats", SurvivesEncoding<ReencodeHeartbeat>},
    {"departures", SurvivesEncoding<ReencodeDepartures>},
    {"drains", SurvivesEncoding<ReencodeDrains>},
    {"feed_confirmations", SurvivesEncoding<ReencodeFeedConfirmation>},
    {"bound_requests", SurvivesEncoding<ReencodeBoundRequest>},
    {"bound_responses", SurvivesEncoding<ReencodeBoundResponse>},
    {"forwarded_commands", SurvivesEncoding<ReencodeForwardedCommand>},
    {"forwarded_command_responses",
     SurvivesEncoding<ReencodeForwardedCommandResponse>},
    {"answered_commit_queries", SurvivesEncoding<ReencodeAnsweredCommitQuery>},
    {"answered_commit_responses",
     SurvivesEncoding<ReencodeAnsweredCommitResponse>},
    {"fleet_states",
     [](std::string_view bytes) {
       FleetState state;
       DecodeFleetState(bytes, state);
       return true;
     }},
    {"node_statuses",
     [](std::string_view bytes) {
       NodeStatus status;
       DecodeNodeStatus(bytes, status);
       return true;
     }},
    {"documents",
     [](std::string_view bytes) {
       Findings findings;
       ParseDocument(bytes, findings);
       return true;
     }},
    {"histories",
     [](std::string_view bytes) {
       Findings findings;
       ParseHistory(bytes, findings);
       return true;
     }},
    {"caller_answers",
     [](std::string_view bytes) {
       Findings findings;
       ParseCallerAnswer(bytes, findings);
       return true;
     }},
    {"control_messages",
     [](std::string_view bytes) {
       Findings findings;
       if (const Json::Value value = ParseJsonObject(bytes, findings);
           findings.IsEmpty()) {
         DecodeObserveRequest(value, findings);
         DecodeObserveAnswer(value, findings);
         DecodeDocumentOffer(value, findings);
         DecodePromoteRequest(value, findings);
         DecodePoolerStatus(value, findings);
       }
       return true;
     }},
    {"platform_rows",
     [](std::string_view bytes) {
       Findings findings;
       ParseTableRow(bytes, findings);
       ParseVmList(bytes, findings);
       ParseGrantRow(bytes, findings);
       ParseDocumentHead(bytes, findings);
       return true;
     }},
});

std::vector<std::string> ReadCorpus(const char* name) {
  std::ifstream file(std::string(MAGNOLIAREEL_FUZZ_CORPUS) + "/" + name +
                     ".txt");
  std::vector<std::string> messages;
  for (std::string line; std::getline(file, line);) {
    messages.push_back(line);
  }
  return messages;
}

/** Applies one to four random changes to a message. */
std::string Mutate(std::string bytes,
                   const std::string& other,
                   std::mt19937_64& random) {
  static constexpr auto kFragments =
      std::to_array<std::string_view>({"{",
                                       "}",
                                       "[",
                                       "]",
                                       "\"",
                                       ",",
                                       ":",
                                       " ",
                                       "\r\n",
                                       "null",
                                       "-1",
                                       "1e999",
                                       "1e300",
                                       "0.5",
                                       "18446744073709551615",
                                       "18446744073709551616",
                                       "9223372036854775808",
                                       "4294967296",
                                       "\\u0000",
                                       "\xff",
                                       "\xc3"});
  const size_t n = 1 + random() % 4;
  for (size_t it = 0; it < n; ++it) {
    const size_t at = bytes.empty() ? 0 : random() % bytes.size();
    switch (random() % 6) {
      case 0:
        bytes.insert(at, kFragments[random() % kFragments.size()]);
        break;
      case 1:
        bytes.erase(at, 1 + random() % 8);
        break;
      case 2:
        if (!bytes.empty()) {
          bytes[at] = static_cast<char>(random() % 256);
        }
        break;
      case 3:
        bytes.insert(at, bytes.substr(at, random() % 16));
        break;
      case 4:
        bytes.replace(at, random() % 8,
                      kFragments[random() % kFragments.size()]);
        break;
      default:
        bytes = bytes.substr(0, at) +
                other.substr(other.empty() ? 0 : random() % other.size());
    }
  }
  return bytes;
}

std::string FormatBytes(std::string_view bytes) {
  std::string text;
  for (const char it : bytes) {
    if (it >= ' ' && it <= '~') {
      text.push_back(it);
    } else {
      constexpr std::string_view kDigits = "0123456789abcdef";
      const auto code = static_cast<unsigned char>(it);
      text.append("\\x").push_back(kDigits[code / 16]);
      text.push_back(kDigits[code % 16]);
    }
  }
  return text;
}

uint64_t ReadNumber(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace

TEST_GROUP(Decoders){};

TEST(Decoders, SurviveAnyMessage) {
  // MAGNOLIAREEL_FUZZ_INPUTS and MAGNOLIAREEL_FUZZ_SEED make longer and other
  // runs; build with sanitizers to see undefined behaviour.
  const uint64_t inputs =
      ReadNumber("MAGNOLIAREEL_FUZZ_INPUTS", kDefaultInputs);
  std::mt19937_64 random(ReadNumber("MAGNOLIAREEL_FUZZ_SEED", 1));
  for (const Decoder& decoder : kDecoders) {
    const std::vector<std::string> corpus = ReadCorpus(decoder.corpus);
    CHECK_TEXT(!corpus.empty(), decoder.corpus);
    for (const std::string& it : corpus) {
      CHECK_TEXT(decoder.decode(it), FormatBytes(it).c_str());
    }
    for (uint64_t n = 0; n < inputs; ++n) {
      const std::string bytes =
          Mutate(corpus[random() % corpus.size()],
                 corpus[random() % corpus.size()], random);
      if (!decoder.decode(bytes)) {
        FAIL((std::string(decoder.corpus) + ": " + FormatBytes(bytes)).c_str());
      }
    }
  }
}

}  // namespace magnoliareel
