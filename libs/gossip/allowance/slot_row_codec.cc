#include "gossip/allowance/slot_row_codec.h"

#include <bit>

#include "gossip/fields/datagram_fields.h"

namespace magnoliareel {
namespace {

// Precedes the slots. It changes with the layout of the fields after it.
constexpr Word kMagic = "mrn1";
// Stands for a slot that nobody owns.
constexpr Word kNone = "-";

}  // namespace

std::string TextSlotRowCodec::Encode(const SlotAssignment& assignment) {
  std::string out = JoinFields({kMagic});
  for (const SlotOwner& it : assignment.owners) {
    out.push_back(' ');
    AppendFields(out, {it.vm.IsEmpty() ? kNone : Word(it.vm.value),
                       Word(std::to_string(it.mark))});
  }
  return out;
}

bool TextSlotRowCodec::Decode(std::string_view value, SlotAssignment& out) {
  out = {};
  if (TakeField(value) != kMagic.GetText()) {
    return false;
  }
  while (!value.empty()) {
    SlotOwner& owner = out.owners.emplace_back();
    if (!TakeWord(value, owner.vm.value) ||
        !ParseDecimal(TakeField(value), owner.mark)) {
      return false;
    }
    if (owner.vm.value == kNone.GetText()) {
      owner.vm.value.clear();
    }
  }
  return std::has_single_bit(out.owners.size());
}

}  // namespace magnoliareel
