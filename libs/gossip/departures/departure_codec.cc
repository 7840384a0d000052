#include "gossip/departures/departure_codec.h"

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr std::string_view kMagic = "mrd1";

}  // namespace

std::string EncodeDepartureNotices(std::span<const DepartureNotice> notices) {
  std::string out(kMagic);
  for (const DepartureNotice& it : notices) {
    out.append(" ").append(it.service.value);
    out.append(" ").append(it.endpoint.value);
    out.append(it.accounted ? " 1" : " 0");
  }
  return out;
}

bool DecodeDepartureNotices(std::string_view bytes,
                            std::vector<DepartureNotice>& out) {
  if (TakeField(bytes) != kMagic) {
    return false;
  }
  while (!bytes.empty()) {
    DepartureNotice notice;
    notice.service.value = TakeField(bytes);
    notice.endpoint.value = TakeField(bytes);
    const std::string_view accounted = TakeField(bytes);
    if (notice.service.IsEmpty() || notice.endpoint.IsEmpty() ||
        (accounted != "0" && accounted != "1")) {
      return false;
    }
    notice.accounted = accounted == "1";
    out.push_back(std::move(notice));
  }
  return true;
}

}  // namespace magnoliareel
