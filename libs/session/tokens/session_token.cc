#include "session/tokens/session_token.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {
namespace {

template <class Watermarks>
auto FindWatermark(Watermarks& watermarks, const GroupId& group) {
  return std::lower_bound(
      watermarks.begin(), watermarks.end(), group,
      [](const GroupWatermark& watermark, const GroupId& wanted) {
        return watermark.group < wanted;
      });
}

}  // namespace

GroupWatermark SessionToken::GetWatermark(const GroupId& group) const {
  const auto it = FindWatermark(watermarks, group);
  return it == watermarks.end() || it->group != group
             ? GroupWatermark{group, {}, {}, {}}
             : *it;
}

void SessionToken::RaiseWatermark(GroupWatermark watermark) {
  const auto it = FindWatermark(watermarks, watermark.group);
  if (it == watermarks.end() || it->group != watermark.group) {
    watermarks.insert(it, std::move(watermark));
  } else if (it->point < watermark.point) {
    *it = std::move(watermark);
  }
}

}  // namespace magnoliareel
