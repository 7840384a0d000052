#include "telemetry/events/log_buffer.h"

#include <unistd.h>

namespace magnoliareel {

void LogBuffer::Push(std::string_view line) {
  const std::lock_guard lock(mutex_);
  if (waiting_.size() + line.size() + 1 > capacity_) {
    ++dropped_;
    return;
  }
  waiting_.append(line).push_back('\n');
}

uint64_t LogBuffer::Drain(int fd) {
  for (;;) {
    if (written_ == writing_.size()) {
      writing_.clear();
      written_ = 0;
      const std::lock_guard lock(mutex_);
      if (waiting_.empty()) {
        const uint64_t news = dropped_ - reported_;
        reported_ = dropped_;
        return news;
      }
      writing_.swap(waiting_);
    }
    const ssize_t n =
        write(fd, writing_.data() + written_, writing_.size() - written_);
    if (n <= 0) {
      // The reader is slow or gone; what waits is kept within the bound.
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
