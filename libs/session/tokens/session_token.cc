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

EndpointId SessionToken::GetPrimary(const GroupId& group) const {
  const auto it = FindMark(marks, group);
  return it == marks.end() || it->group != group ? EndpointId{} : it->primary;
}

void SessionToken::RaiseMark(const GroupId& group,
                             LogPoint point,
                             const EndpointId& primary) {
  const auto it = FindMark(marks, group);
  if (it == marks.end() || it->group != group) {
    marks.insert(it, GroupMark{group, point, primary});
  } else if (it->point < point) {
    it->point = point;
    it->primary = primary;
  }
}

}  // namespace magnoliareel
