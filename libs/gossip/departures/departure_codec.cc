#include "gossip/departures/departure_codec.h"

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr Word kMagic = "mrd1";

}  // namespace

std::string EncodeDepartureNotices(std::span<const DepartureNotice> notices) {
  std::string out = JoinFields({kMagic});
  for (const DepartureNotice& it : notices) {
    out.push_back(' ');
    AppendFields(out, {Word(it.service.value), Word(it.endpoint.value),
                       it.accounted ? Word("1") : Word("0")});
  }
  return out;
}

bool DecodeDepartureNotices(std::string_view bytes,
                            std::vector<DepartureNotice>& out) {
  if (TakeField(bytes) != kMagic.GetText()) {
    return false;
  }
  while (!bytes.empty()) {
    DepartureNotice notice;
    if (!TakeWord(bytes, notice.service.value) ||
        !TakeWord(bytes, notice.endpoint.value)) {
      return false;
    }
    const std::string_view accounted = TakeField(bytes);
    if (accounted != "0" && accounted != "1") {
      return false;
    }
    notice.accounted = accounted == "1";
    out.push_back(std::move(notice));
  }
  return true;
}

}  // namespace magnoliareel
