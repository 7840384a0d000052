#ifndef MAGNOLIAREEL_TESTS_SOAK_CALLER_CONNECTIONS_H_
#define MAGNOLIAREEL_TESTS_SOAK_CALLER_CONNECTIONS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "net/net.h"
#include "platform/platform.h"

namespace magnoliareel {

/** Connects callers to the nodes under test. @see CallerTransport */
class CallerConnections {
 public:
  /** Called with each line that a caller receives, and with an empty line when
      its session ends. */
  using Output = std::function<void(uint64_t session, std::string_view line)>;

  /** @param loop    runs the connections; outlives this object
      @param nodes   the address at which each node accepts callers
      @param output  receives the callers' lines
  */
  CallerConnections(EventLoop& loop,
                    std::vector<SocketAddress> nodes,
                    Output output);
  ~CallerConnections();

  /** @see CallerTransport */
  TimePoint Now() const { return loop_.Now(); }
  /** @see CallerTransport */
  void After(Duration pause, std::function<void()> task) {
    RunLater(loop_, pause, std::move(task));
  }
  /** @see CallerTransport */
  uint64_t OpenCaller(size_t node);
  /** @see CallerTransport */
  void Send(size_t node, uint64_t session, const std::string& line);

 private:
  struct Session;

  EventLoop& loop_;
  const std::vector<SocketAddress> nodes_;
  const Output output_;
  std::map<uint64_t, std::unique_ptr<Session>> sessions_;
  std::vector<std::unique_ptr<Session>> closed_sessions_;
  uint64_t next_session_ = 1;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_SOAK_CALLER_CONNECTIONS_H_
