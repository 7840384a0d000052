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

/** Callers' connections to the nodes under test. @see CallerTransport */
class CallerConnections {
 public:
  /** Told of each line that a caller receives; empty when its session ends. */
  using Output = std::function<void(uint64_t session, std::string_view line)>;

  /** @param loop    serves the connections; outlives this
      @param nodes   where each node accepts callers
      @param output  hears what callers receive
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
  std::vector<std::unique_ptr<Session>> retired_;
  uint64_t next_session_ = 1;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_SOAK_CALLER_CONNECTIONS_H_
