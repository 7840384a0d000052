#ifndef MAGNOLIAREEL_APPS_NODE_NODE_PROCESS_H_
#define MAGNOLIAREEL_APPS_NODE_NODE_PROCESS_H_

#include <functional>
#include <memory>
#include <string>

#include "apps/node/traffic_thread.h"
#include "control/control.h"
#include "net/net.h"
#include "platform/platform.h"
#include "telemetry/telemetry.h"

namespace magnoliareel {

/** A node: the control thread, which is the one that runs this, and the traffic
    thread that it starts. */
class NodeProcess {
 public:
  /** @param settings  checked
      @param log       what the log is buffered in; outlives the process
  */
  NodeProcess(NodeSettings settings, LogRing& log);

  /** Serves until SIGTERM.

      @returns 0, or the exit code that says why it could not serve
  */
  int Run();

  /** @see FleetOutlet */
  TimePoint Now() const { return loop_.Now(); }
  /** @see FleetOutlet */
  void After(Duration pause, std::function<void()> task);
  /** @see FleetOutlet */
  void Publish(std::shared_ptr<const FleetView> view);

 private:
  using Fleet =
      FleetControl<platform::StoreClient, platform::RowCodec, NodeProcess>;

  net::Reply AnswerProbe();
  void HandleNotice(const TrafficNotice& notice);
  void BeginStop();
  void FinishStop();
  void DrainLog();

  const NodeSettings settings_;
  LogRing& log_;
  EventLoop loop_;
  LoopTimer log_timer_;
  LoopTimer stop_timer_;
  Mailbox<TrafficNotice> notices_;
  platform::StoreClient store_;
  TrafficThread traffic_;
  Fleet fleet_;
  net::HttpListener probe_;
  bool ready_ = false;
  bool stopping_ = false;
  bool drained_ = false;
  TimePoint stop_began_at_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_NODE_PROCESS_H_
