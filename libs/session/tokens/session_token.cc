#include "session/tokens/session_token.h"

#include <algorithm>
#include <utility>

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

GroupMark SessionToken::GetMark(const GroupId& group) const {
  const auto it = FindMark(marks, group);
  return it == marks.end() || it->group != group ? GroupMark{group, {}, {}, {}}
                                                 : *it;
}

void SessionToken::RaiseMark(GroupMark mark) {
  const auto it = FindMark(marks, mark.group);
  if (it == marks.end() || it->group != mark.group) {
    marks.insert(it, std::move(mark));
  } else if (it->point < mark.point) {
    *it = std::move(mark);
  }
}

}  // namespace magnoliareel
