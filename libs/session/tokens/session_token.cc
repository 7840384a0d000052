#include "session/tokens/session_token.h"

#include <algorithm>

namespace magnoliareel {
namespace {

template <class Marks>
auto FindMark(Marks& marks, const GroupId& group) {
  return std::lower_bound(marks.begin(), marks.end(), group,
                          [](const GroupMark& mark, const GroupId& wanted) {
                            return mark.group < wanted;
                          });
}

}  // namespace

LogPoint SessionToken::GetMark(const GroupId& group) const {
  const auto it = FindMark(marks, group);
  return it == marks.end() || it->group != group ? LogPoint{} : it->point;
}

void SessionToken::RaiseMark(const GroupId& group, LogPoint point) {
  const auto it = FindMark(marks, group);
  if (it == marks.end() || it->group != group) {
    marks.insert(it, GroupMark{group, point});
  } else {
    it->point = std::max(it->point, point);
  }
}

}  // namespace magnoliareel
