#include "tests/soak/caller_connections.h"

#include <utility>

namespace magnoliareel {

struct CallerConnections::Session {
  CallerConnections* owner = nullptr;
  uint64_t id = 0;
  Stream stream;
  platform::LineFramer framer;

  void HandleOpened() {}
  void HandleBytes(std::string_view bytes) {
    framer.Feed(bytes, [this](std::string_view line) {
      owner->output_(id, line);
      return true;
    });
  }
  void HandleClosed(std::error_code) {
    CallerConnections& callers = *owner;
    const auto it = callers.sessions_.find(id);
    if (it == callers.sessions_.end()) {
      return;
    }
    // Deleted later, because a handler of this session is running.
    callers.closed_sessions_.push_back(std::move(it->second));
    callers.sessions_.erase(it);
    callers.loop_.Defer([&callers] { callers.closed_sessions_.clear(); });
    callers.output_(id, {});
  }
};

CallerConnections::CallerConnections(EventLoop& loop,
                                     std::vector<SocketAddress> nodes,
                                     Output output)
    : loop_(loop), nodes_(std::move(nodes)), output_(std::move(output)) {}

CallerConnections::~CallerConnections() = default;

uint64_t CallerConnections::OpenCaller(size_t node) {
  auto owned = std::make_unique<Session>();
  Session& it = *owned;
  it.owner = this;
  it.id = next_session_++;
  sessions_.emplace(it.id, std::move(owned));
  it.stream.Connect(loop_, nodes_[node], it);
  return it.id;
}

void CallerConnections::Send(size_t,
                             uint64_t session,
                             const std::string& line) {
  const auto it = sessions_.find(session);
  if (it == sessions_.end()) {
    return;
  }
  it->second->stream.Append(line);
  it->second->stream.Append("\r\n");
  it->second->stream.Flush();
}

}  // namespace magnoliareel
