#include "gossip/duties/duty_row_codec.h"

namespace magnoliareel {
namespace {

// Precedes the record. It changes with the layout of the fields after it.
constexpr Word kMagic = "mrg1";
// Stands for a service without a primary.
constexpr Word kNone = "-";

}  // namespace

std::string TextDutyRowCodec::Encode(const DutyRow& row) {
  const GroupRecord& group = row.group;
  std::string out =
      JoinFields({Word(row.holder.value), kMagic,
                  group.primary.IsEmpty() ? kNone : Word(group.primary.value),
                  Word(std::to_string(group.term.value))});
  for (const EndpointId& it : group.members) {
    out.push_back(' ');
    AppendFields(out, {Word(it.value)});
  }
  return out;
}

bool TextDutyRowCodec::Decode(std::string_view value, DutyRow& out) {
  out = {};
  if (!TakeWord(value, out.holder.value)) {
    return false;
  }
  if (value.empty()) {
    return true;
  }
  if (TakeField(value) != kMagic.GetText()) {
    return false;
  }
  if (!TakeWord(value, out.group.primary.value) ||
      !ParseDecimal(TakeField(value), out.group.term.value)) {
    return false;
  }
  if (out.group.primary.value == kNone.GetText()) {
    out.group.primary.value.clear();
  }
  while (!value.empty()) {
    if (!TakeWord(value, out.group.members.emplace_back().value)) {
      return false;
    }
  }
  return true;
}

}  // namespace magnoliareel
