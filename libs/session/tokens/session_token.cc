#include "session/tokens/session_token.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {
namespace {

template <class Marks>
auto FindMark(Marks& watermarks, const GroupId& group) {
  return std::lower_bound(
      watermarks.begin(), watermarks.end(), group,
      [](const GroupWatermark& mark, const GroupId& wanted) {
        return mark.group < wanted;
      });
}

}  // namespace

GroupWatermark SessionToken::GetWatermark(const GroupId& group) const {
  const auto it = FindMark(watermarks, group);
  return it == watermarks.end() || it->group != group
             ? GroupWatermark{group, {}, {}, {}}
             : *it;
}

void SessionToken::RaiseWatermark(GroupWatermark mark) {
  const auto it = FindMark(watermarks, mark.group);
  if (it == watermarks.end() || it->group != mark.group) {
    watermarks.insert(it, std::move(mark));
  } else if (it->point < mark.point) {
    *it = std::move(mark);
  }
}

}  // namespace magnoliareel
