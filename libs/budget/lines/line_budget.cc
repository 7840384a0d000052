#include "budget/lines/line_budget.h"

#include <algorithm>
#include <utility>

namespace magnoliareel {

// Half of the memory for medium lines is for connections that wait for a place.
LineBudget::LineBudget(size_t medium_bytes, size_t long_bytes)
    : max_medium_(std::max<size_t>(1, medium_bytes / kMediumLineBytes / 2)),
      max_long_(std::max<size_t>(1, long_bytes / kLongLineBytes)) {}

LineDecision LineBudget::Request(uint64_t id, LineClass wanted, TimePoint now) {
  Holder& holder = holders_[id];
  if (holder.waits_for != LineClass::kShort) {
    return LineDecision::kWait;
  }
  if (holder.has >= wanted) {
    return LineDecision::kRead;
  }
  std::deque<uint64_t>& waiting =
      wanted == LineClass::kLong ? waiting_long_ : waiting_medium_;
  if (waiting.empty() && Take(holder, wanted, now)) {
    return LineDecision::kRead;
  }
  // Those that wait without a place hold what they have read, up to the length
  // of a medium line.
  if (holder.has == LineClass::kShort && CountWaiting() >= max_medium_) {
    holders_.erase(id);
    return LineDecision::kClose;
  }
  holder.waits_for = wanted;
  waiting.push_back(id);
  return LineDecision::kWait;
}

bool LineBudget::Take(Holder& holder, LineClass wanted, TimePoint now) {
  size_t& taken = wanted == LineClass::kLong ? taken_long_ : taken_medium_;
  if (taken >= (wanted == LineClass::kLong ? max_long_ : max_medium_)) {
    return false;
  }
  GiveUp(holder);
  ++taken;
  holder.has = wanted;
  holder.received = 0;
  holder.checked_at = now;
  return true;
}

void LineBudget::GiveUp(Holder& holder) {
  if (holder.has == LineClass::kMedium) {
    --taken_medium_;
  } else if (holder.has == LineClass::kLong) {
    --taken_long_;
  }
  holder.has = LineClass::kShort;
}

void LineBudget::RecordReceived(uint64_t id, size_t bytes) {
  if (const auto it = holders_.find(id); it != holders_.end()) {
    it->second.received += bytes;
  }
}

void LineBudget::SetInUse(uint64_t id, bool is_in_use, TimePoint now) {
  const auto it = holders_.find(id);
  if (it == holders_.end() ||
      std::exchange(it->second.is_in_use, is_in_use) == is_in_use) {
    return;
  }
  it->second.received = 0;
  it->second.checked_at = now;
}

void LineBudget::Release(uint64_t id) {
  const auto it = holders_.find(id);
  if (it == holders_.end()) {
    return;
  }
  if (it->second.waits_for == LineClass::kLong) {
    std::erase(waiting_long_, id);
  } else if (it->second.waits_for == LineClass::kMedium) {
    std::erase(waiting_medium_, id);
  }
  GiveUp(it->second);
  holders_.erase(it);
}

std::vector<uint64_t> LineBudget::TakeGranted(TimePoint now) {
  std::vector<uint64_t> out;
  // Long lines first: they give up medium places.
  for (std::deque<uint64_t>* waiting : {&waiting_long_, &waiting_medium_}) {
    while (!waiting->empty()) {
      Holder& holder = holders_[waiting->front()];
      if (!Take(holder, holder.waits_for, now)) {
        break;
      }
      holder.waits_for = LineClass::kShort;
      out.push_back(waiting->front());
      waiting->pop_front();
    }
  }
  return out;
}

std::vector<uint64_t> LineBudget::FindStalled(TimePoint now) {
  std::vector<uint64_t> out;
  for (auto& [id, holder] : holders_) {
    const bool is_wanted = holder.has == LineClass::kLong
                               ? !waiting_long_.empty()
                               : !waiting_medium_.empty();
    if (holder.is_in_use || holder.waits_for != LineClass::kShort ||
        now - holder.checked_at < kLineProgressPeriod) {
      continue;
    }
    if (is_wanted && holder.received < kMinLineProgress) {
      out.push_back(id);
    }
    holder.received = 0;
    holder.checked_at = now;
  }
  return out;
}

}  // namespace magnoliareel
