#include "gossip/allowance/permit_codec.h"

#include <cstdint>
#include <limits>

#include "gossip/fields/datagram_fields.h"

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr Word kRequestMagic = "mrx1";
constexpr Word kGrantMagic = "mry1";
constexpr Word kSlotMagic = "mrz1";

bool TakeCount(std::string_view& bytes, uint32_t& out) {
  uint64_t count = 0;
  if (!ParseDecimal(TakeField(bytes), count) ||
      count > std::numeric_limits<uint32_t>::max()) {
    return false;
  }
  out = static_cast<uint32_t>(count);
  return true;
}

}  // namespace

std::string EncodePermitRequest(const PermitRequestDatagram& datagram) {
  const PermitRequest& request = datagram.request;
  return JoinFields({kRequestMagic, Word(std::to_string(request.sequence)),
                     Word(datagram.reply_to.Format()),
                     Word(std::to_string(request.count)),
                     Word(request.team.value)});
}

bool DecodePermitRequest(std::string_view bytes, PermitRequestDatagram& out) {
  if (TakeField(bytes) != kRequestMagic.GetText() ||
      !ParseDecimal(TakeField(bytes), out.request.sequence) ||
      !ParseSocketAddress(std::string(TakeField(bytes)), out.reply_to) ||
      !TakeCount(bytes, out.request.count)) {
    return false;
  }
  return TakeWord(bytes, out.request.team.value) && bytes.empty();
}

std::string EncodePermitGrant(const PermitGrantDatagram& datagram) {
  const PermitGrant& grant = datagram.grant;
  return JoinFields({kGrantMagic, Word(std::to_string(grant.sequence)),
                     Word(datagram.vm.value), Word(std::to_string(grant.count)),
                     Word(grant.team.value)});
}

bool DecodePermitGrant(std::string_view bytes, PermitGrantDatagram& out) {
  if (TakeField(bytes) != kGrantMagic.GetText() ||
      !ParseDecimal(TakeField(bytes), out.grant.sequence) ||
      !TakeWord(bytes, out.vm.value) || !TakeCount(bytes, out.grant.count)) {
    return false;
  }
  return TakeWord(bytes, out.grant.team.value) && bytes.empty();
}

std::string EncodeSlotRequest(const SlotRequestDatagram& datagram) {
  return JoinFields({kSlotMagic, Word(datagram.vm.value)});
}

bool DecodeSlotRequest(std::string_view bytes, SlotRequestDatagram& out) {
  return TakeField(bytes) == kSlotMagic.GetText() &&
         TakeWord(bytes, out.vm.value) && bytes.empty();
}

}  // namespace magnoliareel
