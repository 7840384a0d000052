#include "gossip/heartbeats/heartbeat_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr std::string_view kMagic = "mr1";

// Stands for a successor that is not chosen.
constexpr std::string_view kNone = "-";

constexpr auto kConditions =
    std::to_array({EndpointCondition::kUnreachable, EndpointCondition::kSilent,
                   EndpointCondition::kCommitsStalled});

void AppendField(std::string& out, std::string_view field) {
  out.push_back(' ');
  out.append(field);
}

// Decodes one repeated entry. The letter gives its kind: s suspicion, d duty,
// l ordered promotion, r replacement, o address of another VM, f port for
// forwarded statements.
bool DecodeEntry(char letter, std::string_view& rest, Heartbeat& out) {
  const std::string first(TakeField(rest));
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
  const std::string_view second = TakeField(rest);
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
      out.promotions.push_back(
          {ServiceId{first}, EndpointId{std::string(second)}, number});
      return !second.empty();
    case 'r': {
      if (!ParseDecimal(TakeField(rest), number)) {
        return false;
      }
      const std::string_view successor = second == kNone ? "" : second;
      out.replacements.push_back(
          {ServiceId{first}, EndpointId{std::string(successor)}, number});
      return !second.empty();
    }
    default:
      return false;
  }
}

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  std::string out(kMagic);
  AppendField(out, heartbeat.vm.value);
  AppendField(out, heartbeat.site.value);
  AppendField(out, heartbeat.address.Format());
  AppendField(out, std::to_string(heartbeat.config_version));
  AppendField(out, std::to_string(heartbeat.endpoints_version));
  AppendField(out, heartbeat.leaving ? "1" : "0");
  if (heartbeat.forwarding_port != 0) {
    AppendField(out, "f");
    AppendField(out, std::to_string(heartbeat.forwarding_port));
  }
  for (const ConditionReport& it : heartbeat.suspicions) {
    const auto at =
        std::find(kConditions.begin(), kConditions.end(), it.condition);
    if (at == kConditions.end()) {
      continue;
    }
    AppendField(out, "s");
    AppendField(out, it.endpoint.value);
    AppendField(out, std::to_string(at - kConditions.begin()));
  }
  for (const HeldDuty& it : heartbeat.duties) {
    AppendField(out, "d");
    AppendField(out, it.service.value);
    AppendField(out, std::to_string(it.fencing_token));
  }
  for (const PromotionNotice& it : heartbeat.promotions) {
    AppendField(out, "l");
    AppendField(out, it.service.value);
    AppendField(out, it.endpoint.value);
    AppendField(out, std::to_string(it.fencing_token));
  }
  for (const ReplacementNotice& it : heartbeat.replacements) {
    AppendField(out, "r");
    AppendField(out, it.service.value);
    AppendField(out, it.successor.IsEmpty() ? kNone : it.successor.value);
    AppendField(out, std::to_string(it.fencing_token));
  }
  for (const SocketAddress& it : heartbeat.others) {
    AppendField(out, "o");
    AppendField(out, it.Format());
  }
  return out;
}

bool DecodeHeartbeat(std::string_view bytes, Heartbeat& out) {
  std::string_view rest = bytes;
  if (TakeField(rest) != kMagic) {
    return false;
  }
  out.vm.value = TakeField(rest);
  out.site.value = TakeField(rest);
  const std::string_view address = TakeField(rest);
  const std::string_view config = TakeField(rest);
  const std::string_view endpoints = TakeField(rest);
  out.leaving = TakeField(rest) == "1";
  if (out.vm.IsEmpty() || !ParseSocketAddress(address, out.address) ||
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
