#include "gossip/duties/duty_row_codec.h"

#include <utility>

namespace magnoliareel {
namespace {

// Precedes the record. It changes with the layout of the fields after it.
constexpr std::string_view kMagic = "mrg1";
// Stands for a service without a primary.
constexpr std::string_view kNone = "-";

}  // namespace

std::string TextDutyRowCodec::Encode(const DutyRow& row) {
  std::string out = row.holder.value;
  out.append(" ").append(kMagic);
  out.append(" ").append(row.group.primary.IsEmpty() ? kNone
                                                     : row.group.primary.value);
  out.append(" ").append(std::to_string(row.group.term.value));
  for (const EndpointId& it : row.group.members) {
    out.append(" ").append(it.value);
  }
  return out;
}

bool TextDutyRowCodec::Decode(std::string_view value, DutyRow& out) {
  out = {};
  out.holder.value = TakeField(value);
  if (out.holder.IsEmpty() || value.empty()) {
    return !out.holder.IsEmpty();
  }
  if (TakeField(value) != kMagic) {
    return false;
  }
  const std::string_view primary = TakeField(value);
  if (primary.empty() ||
      !ParseDecimal(TakeField(value), out.group.term.value)) {
    return false;
  }
  if (primary != kNone) {
    out.group.primary.value = primary;
  }
  while (!value.empty()) {
    EndpointId member{std::string(TakeField(value))};
    if (member.IsEmpty()) {
      return false;
    }
    out.group.members.push_back(std::move(member));
  }
  return true;
}

}  // namespace magnoliareel
