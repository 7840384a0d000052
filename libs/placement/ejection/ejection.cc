#include "placement/ejection/ejection.h"

#include <algorithm>

namespace magnoliareel {
namespace {

// After so many times the last ejection without another one, the next one is
// short again.
constexpr int kCleanTimeFactor = 2;

}  // namespace

void Ejection::Eject(TimePoint now) {
  const bool is_repeated =
      time_ > Duration(0) && now - until_ < kCleanTimeFactor * time_;
  time_ = is_repeated ? std::min(2 * time_, kMaxEjectionTime)
                      : kInitialEjectionTime;
  is_ejected_ = true;
  has_probed_ = false;
  probe_failed_ = false;
  until_ = now + time_;
  probed_at_ = now;
}

bool Ejection::EndIfDue(TimePoint now) {
  if (!is_ejected_ || now < until_) {
    return false;
  }
  if (probe_failed_) {
    Eject(now);
    return false;
  }
  is_ejected_ = false;
  return true;
}

}  // namespace magnoliareel
