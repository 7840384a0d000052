#include "gossip/drains/drain_codec.h"

#include <utility>

#include "gossip/fields/datagram_fields.h"

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr Word kMagic = "mrg1";

}  // namespace

std::string EncodeDrainNotices(std::span<const DrainNotice> notices) {
  std::string out = JoinFields({kMagic});
  for (const DrainNotice& it : notices) {
    out.push_back(' ');
    AppendFields(
        out, {Word(it.endpoint.value), Word(std::to_string(it.started_at_ms)),
              Word(std::to_string(it.age.count()))});
  }
  return out;
}

bool DecodeDrainNotices(std::string_view bytes, std::vector<DrainNotice>& out) {
  if (TakeField(bytes) != kMagic.GetText()) {
    return false;
  }
  while (!bytes.empty()) {
    DrainNotice notice;
    if (!TakeWord(bytes, notice.endpoint.value) ||
        !ParseDecimal(TakeField(bytes), notice.started_at_ms) ||
        !DecodeDuration(TakeField(bytes), notice.age)) {
      return false;
    }
    out.push_back(std::move(notice));
  }
  return true;
}

}  // namespace magnoliareel
