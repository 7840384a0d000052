#include "telemetry/events/log_buffer.h"

#include <unistd.h>

namespace magnoliareel {

void LogBuffer::Push(std::string_view line) {
  const std::lock_guard lock(mutex_);
  if (pending_.size() + line.size() + 1 > capacity_) {
    ++dropped_;
    return;
  }
  pending_.append(line).push_back('\n');
}

uint64_t LogBuffer::Drain(int fd) {
  for (;;) {
    if (written_ == writing_.size()) {
      writing_.clear();
      written_ = 0;
      const std::lock_guard lock(mutex_);
      if (pending_.empty()) {
        const uint64_t newly_dropped = dropped_ - reported_;
        reported_ = dropped_;
        return newly_dropped;
      }
      writing_.swap(pending_);
    }
    const ssize_t n =
        write(fd, writing_.data() + written_, writing_.size() - written_);
    if (n <= 0) {
      // The reader is slow or gone; the pending lines are kept.
      return 0;
    }
    written_ += static_cast<size_t>(n);
  }
}

uint64_t LogBuffer::GetDroppedCount() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace magnoliareel
