#include "relay/connections/prepared_names.h"

#include <algorithm>

namespace magnoliareel {

PreparedNames::Usage PreparedNames::Use(
    std::shared_ptr<const PreparedStatement> statement) {
  if (const auto found = index_.find(MakeKey(*statement));
      found != index_.end()) {
    entries_.splice(entries_.begin(), entries_, found->second);
    return {found->second->name, false, {}};
  }
  Usage usage{{++last_number_}, true, {}};
  shape_bytes_ += statement->shape.size();
  entries_.push_front({usage.name, std::move(statement)});
  index_.emplace(MakeKey(*entries_.front().statement), entries_.begin());
  while (entries_.size() > 1 &&
         (entries_.size() > kMaxCount || shape_bytes_ > kMaxShapeBytes)) {
    usage.evicted.push_back(entries_.back().name);
    Erase(std::prev(entries_.end()));
  }
  return usage;
}

void PreparedNames::Forget(PooledStatementName name) {
  if (const auto it =
          std::find_if(entries_.begin(), entries_.end(),
                       [&](const Entry& entry) { return entry.name == name; });
      it != entries_.end()) {
    Erase(it);
  }
}

void PreparedNames::Clear() {
  index_.clear();
  entries_.clear();
  shape_bytes_ = 0;
}

void PreparedNames::Erase(Entries::iterator entry) {
  shape_bytes_ -= entry->statement->shape.size();
  index_.erase(MakeKey(*entry->statement));
  entries_.erase(entry);
}

}  // namespace magnoliareel
