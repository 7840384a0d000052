#include "gossip/heartbeats/heartbeat_codec.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <utility>

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr Word kMagic = "mr1";

// Stands for a successor that is not chosen.
constexpr Word kNone = "-";

constexpr auto kConditions =
    std::to_array({EndpointCondition::kUnreachable, EndpointCondition::kSilent,
                   EndpointCondition::kCommitsStalled});

void AppendEntry(std::string& out, std::initializer_list<Word> fields) {
  out.push_back(' ');
  AppendFields(out, fields);
}

// Decodes one repeated entry. The letter gives its kind: s suspicion, d duty,
// l ordered promotion, r replacement, o address of another VM, f port for
// forwarded statements.
bool DecodeEntry(char letter, std::string_view& rest, Heartbeat& out) {
  std::string first;
  if (!TakeWord(rest, first)) {
    return false;
  }
  if (letter == 'o') {
    SocketAddress address;
    const bool valid = ParseSocketAddress(first, address);
    out.others.push_back(std::move(address));
    return valid;
  }
  uint64_t number = 0;
  if (letter == 'f') {
    if (!ParseDecimal(first, number) || number > UINT16_MAX) {
      return false;
    }
    out.forwarding_port = static_cast<uint16_t>(number);
    return true;
  }
  std::string second;
  if (!TakeWord(rest, second)) {
    return false;
  }
  switch (letter) {
    case 's':
      if (!ParseDecimal(second, number) || number >= kConditions.size()) {
        return false;
      }
      out.suspicions.push_back({EndpointId{first}, kConditions[number]});
      return true;
    case 'd':
      if (!ParseDecimal(second, number)) {
        return false;
      }
      out.duties.push_back({ServiceId{first}, number});
      return true;
    case 'l':
      if (!ParseDecimal(TakeField(rest), number)) {
        return false;
      }
      out.promotions.push_back({ServiceId{first}, EndpointId{second}, number});
      return true;
    case 'r':
      if (!ParseDecimal(TakeField(rest), number)) {
        return false;
      }
      out.replacements.push_back(
          {ServiceId{first},
           second == kNone.GetText() ? EndpointId{} : EndpointId{second},
           number});
      return true;
    default:
      return false;
  }
}

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  std::string out =
      JoinFields({kMagic, Word(heartbeat.vm.value), Word(heartbeat.site.value),
                  Word(heartbeat.address.Format()),
                  Word(std::to_string(heartbeat.config_version)),
                  Word(std::to_string(heartbeat.endpoints_version)),
                  heartbeat.leaving ? Word("1") : Word("0")});
  if (heartbeat.forwarding_port != 0) {
    AppendEntry(out, {"f", Word(std::to_string(heartbeat.forwarding_port))});
  }
  for (const ConditionReport& it : heartbeat.suspicions) {
    const auto at =
        std::find(kConditions.begin(), kConditions.end(), it.condition);
    if (at == kConditions.end()) {
      continue;
    }
    AppendEntry(out, {"s", Word(it.endpoint.value),
                      Word(std::to_string(at - kConditions.begin()))});
  }
  for (const HeldDuty& it : heartbeat.duties) {
    AppendEntry(out, {"d", Word(it.service.value),
                      Word(std::to_string(it.fencing_token))});
  }
  for (const PromotionNotice& it : heartbeat.promotions) {
    AppendEntry(out, {"l", Word(it.service.value), Word(it.endpoint.value),
                      Word(std::to_string(it.fencing_token))});
  }
  for (const ReplacementNotice& it : heartbeat.replacements) {
    AppendEntry(out, {"r", Word(it.service.value),
                      it.successor.IsEmpty() ? kNone : Word(it.successor.value),
                      Word(std::to_string(it.fencing_token))});
  }
  for (const SocketAddress& it : heartbeat.others) {
    AppendEntry(out, {"o", Word(it.Format())});
  }
  return out;
}

bool DecodeHeartbeat(std::string_view bytes, Heartbeat& out) {
  std::string_view rest = bytes;
  if (TakeField(rest) != kMagic.GetText()) {
    return false;
  }
  if (!TakeWord(rest, out.vm.value) || !TakeWord(rest, out.site.value)) {
    return false;
  }
  const std::string_view address = TakeField(rest);
  const std::string_view config = TakeField(rest);
  const std::string_view endpoints = TakeField(rest);
  out.leaving = TakeField(rest) == "1";
  if (!ParseSocketAddress(address, out.address) ||
      !ParseDecimal(config, out.config_version) ||
      !ParseDecimal(endpoints, out.endpoints_version)) {
    return false;
  }
  while (!rest.empty()) {
    const std::string_view letter = TakeField(rest);
    if (letter.size() != 1 || !DecodeEntry(letter.front(), rest, out)) {
      return false;
    }
  }
  return true;
}

}  // namespace magnoliareel
