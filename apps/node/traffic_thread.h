#ifndef MAGNOLIAREEL_APPS_NODE_TRAFFIC_THREAD_H_
#define MAGNOLIAREEL_APPS_NODE_TRAFFIC_THREAD_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "allowance/allowance.h"
#include "budget/budget.h"
#include "forwarding/forwarding.h"
#include "net/net.h"
#include "platform/platform.h"
#include "relay/relay.h"

namespace magnoliareel {

/** A message from the traffic thread to the control thread. Holds one of: the
    condition of an endpoint, the confirmation of a primary, a query for a
    freshness bound, or a request for permits. */
struct TrafficNotice {
  /** Condition of an endpoint; with `primary_confirmed`, only the endpoint's id
      is set. */
  ConditionReport report;
  /** True if the endpoint in `report` was confirmed as primary. */
  bool primary_confirmed = false;
  /** Term in which the endpoint was confirmed as primary. */
  Term term;
  /** Query for a freshness bound from another VM; if set, the other members are
      unused. */
  std::optional<FreshnessBoundQuery> query;
  /** Request for permits and the VM to which it is sent; if set, the other
      members are unused. */
  std::optional<std::pair<VmId, PermitRequest>> permit_request;
};

/** The thread that serves callers, with its event loop, its sockets and the
    TrafficCore that makes the decisions.

    The control thread constructs it and calls the first group of methods. The
    second group is called by the core on the traffic thread. @see TrafficNet
*/
class TrafficThread {
 public:
  /** @param options  options of the core
      @param notify   receives notices on the traffic thread; must not block
      @param metrics  receives a sample per statement; outlives the thread
      @param max_descriptors  descriptors that the process may use; 0 for no
                      limit
  */
  TrafficThread(TrafficOptions options,
                std::function<void(const TrafficNotice&)> notify,
                StatementMetrics& metrics,
                size_t max_descriptors);
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /** Starts listening and starts the thread.

      @param callers  address at which callers connect
      @param peers    address at which other VMs forward statements; port 0 if
                      they cannot
      @returns        an error of the system if an address cannot be used
  */
  std::error_code Start(const SocketAddress& callers,
                        const SocketAddress& peers);
  /** Passes a new view of routes and endpoints to the core. */
  void Publish(std::shared_ptr<const FleetView> view);
  /** Informs the core that the promotion of an endpoint was requested. */
  void AnnouncePrimary(const ServiceId& service, const EndpointId& endpoint);
  /** Calls TrafficCore::HoldCommits on the traffic thread. */
  void HoldCommits(const ServiceId& service, const EndpointId& successor);
  /** Calls TrafficCore::ReleaseCommits on the traffic thread. */
  void ReleaseCommits(const ServiceId& service);
  /** Calls TrafficCore::HasOpenConnection on the traffic thread, where `done`
     is called with the result. */
  void QueryOpenConnection(const EndpointId& endpoint,
                           std::function<void(bool)> done);
  /** Calls TrafficCore::FindAnsweredCommit on the traffic thread, where `done`
     is called with the result. */
  void QueryAnsweredCommit(const ServiceId& service,
                           std::function<void(std::optional<LogPoint>)> done);
  /** Calls TrafficCore::HandleBoundQuery on the traffic thread, where `answer`
      is called as well. */
  void HandleBoundQuery(const FreshnessBoundQuery& query,
                        std::function<void(const FreshnessBound&)> answer);
  /** Calls TrafficCore::RecordPeerBound on the traffic thread. */
  void RecordPeerBound(const FreshnessBound& bound, TimePoint sent_at);
  /** Calls TrafficCore::RequestPrimaryBound on the traffic thread. */
  void RequestPrimaryBound(const ServiceId& service);
  /** Calls TrafficCore::ApplySlots on the traffic thread. */
  void ApplySlots(std::optional<SlotAssignment> assignment,
                  TimePoint valid_until);
  /** Calls TrafficCore::ApplyLenders on the traffic thread. */
  void ApplyLenders(std::vector<PermitLender> lenders);
  /** Calls TrafficCore::HandlePermitRequest on the traffic thread, where `done`
      is called with the result. */
  void HandlePermitRequest(const PermitRequest& request,
                           std::function<void(const PermitGrant&)> done);
  /** Calls TrafficCore::HandlePermitGrant on the traffic thread. */
  void HandlePermitGrant(const VmId& from, const PermitGrant& grant);
  /** Starts draining sessions. @see TrafficCore::BeginDrain */
  void BeginDrain(const DrainPeriods& periods);
  /** Collects the gauges of sessions and connection pools.

      @param done  receives the gauges on the traffic thread
  */
  void CollectGauges(std::function<void(GaugeSnapshot)> done);
  /** Stops accepting connections of callers. */
  void StopAccepting();
  /** @returns the number of callers' sessions after the last event */
  size_t CountSessions() const { return session_count_.load(); }
  /** Stops the thread and closes the remaining connections. */
  void Stop();

  /** @see TrafficNet */
  TimePoint Now() const { return loop_.Now(); }
  /** @see TrafficNet */
  std::string& GetCallerBuffer(uint64_t id);
  /** @see TrafficNet */
  std::string& GetEndpointBuffer(uint64_t id);
  /** @see TrafficNet */
  void OpenEndpoint(uint64_t id, const SocketAddress& address);
  /** @see TrafficNet */
  void CloseEndpoint(uint64_t id);
  /** @see TrafficNet */
  void CloseCaller(uint64_t id);
  /** @see TrafficNet */
  bool HasUnread(uint64_t id) const;
  /** @see TrafficNet */
  void PauseCaller(uint64_t id);
  /** @see TrafficNet */
  void ResumeCaller(uint64_t id);
  /** @see TrafficNet */
  void Wake(TimePoint time);
  /** @see TrafficNet */
  void Report(const ConditionReport& report);
  /** @see TrafficNet */
  void Observe(const StatementSample& sample) { metrics_.Observe(sample); }
  /** @see TrafficNet */
  void OnPrimaryConfirmed(const EndpointId& endpoint, Term term);
  /** @see TrafficNet */
  void RequestPeerBound(const FreshnessBoundQuery& query);
  /** @see TrafficNet */
  void SendPermitRequest(const VmId& to, const PermitRequest& request);

 private:
  using Core =
      TrafficCore<ForwardingCodec<platform::LineDialect>, TrafficThread>;

  /** Who is at the other end of a connection. */
  enum class RemoteKind {
    kCaller,
    /** Another VM that forwards statements to this one. */
    kPeer,
    /** An endpoint, or a VM that holds connections to it. */
    kEndpoint,
  };

  /** Why a connection is not read; several may hold. */
  enum PauseReason : unsigned {
    /** The core has messages of it that wait. */
    kBacklog = 1,
    /** It waits for a place for a long line. */
    kAwaitsLine = 2,
    /** Its long line was passed on and is in use. */
    kLineInUse = 4,
  };

  /** What was done to stay within the limits, since the start. */
  struct LimitCounters {
    uint64_t lines_stalled = 0;
    uint64_t lines_refused = 0;
    uint64_t answers_unread = 0;
    uint64_t mute_closed = 0;
    uint64_t callers_refused = 0;
  };

  /** A connection of a caller or another VM, or to an endpoint. Its lines are
     passed to the core. */
  struct Connection {
    TrafficThread* owner = nullptr;
    uint64_t id = 0;
    RemoteKind remote = RemoteKind::kEndpoint;
    bool dirty = false;
    /** True once it has sent a whole message. */
    bool has_spoken = false;
    /** True while line_budget_ knows it. */
    bool has_line = false;
    /** PauseReason of all reasons that hold. */
    unsigned pauses = 0;
    /** Part of unsent_bytes_ that it holds. */
    size_t unsent = 0;
    Stream stream;
    platform::LineFramer framer;

    void HandleOpened();
    void HandleBytes(std::string_view bytes);
    void HandleClosed(std::error_code ec);
  };
  using Connections = std::unordered_map<uint64_t, std::unique_ptr<Connection>>;

  void Accept(Stream stream, RemoteKind remote);
  std::string& GetBuffer(Connections& connections, uint64_t id);
  void RetireConnection(Connections& connections, uint64_t id);
  /** Completes an event: sends the buffered output of all connections, closes
      callers with too much unsent output and frees closed connections. */
  void FinishEvent();
  void SetPaused(Connection& connection, PauseReason reason, bool is_paused);
  /** Asks line_budget_ whether a connection may be read, which buffers more
      than a short line or has a place. */
  void UpdateLine(Connection& connection);
  /** Lets the connections read that have got places. */
  void ResumeGranted();
  void CloseStalled();
  void CountUnsent(Connection& connection, size_t bytes);
  /** Closes the callers with most unread answers while these are too many. */
  void LimitUnsent();
  /** Closes a caller at once. */
  void DropCaller(uint64_t id);
  /** Logs what was done to stay within the limits, at most once a second. */
  void LogLimits();
  void CollectLimitGauges(GaugeSnapshot& gauges) const;

  EventLoop loop_;
  std::function<void(const TrafficNotice&)> notify_;
  StatementMetrics& metrics_;
  Connections callers_;
  /** Connections of callers whose session has ended and whose last answer is
      not sent completely. */
  Connections ending_callers_;
  Connections endpoints_;
  std::vector<Connection*> dirty_connections_;
  std::vector<std::unique_ptr<Connection>> retired_connections_;
  std::string discard_buffer_;
  uint64_t next_caller_id_ = 1;
  std::atomic<size_t> session_count_ = 0;
  LoopTimer wake_timer_;
  LineBudget line_budget_;
  LoopTimer line_timer_;
  bool checks_stalls_ = false;
  const size_t max_unsent_bytes_;
  size_t unsent_bytes_ = 0;
  DescriptorBudget descriptors_;
  LimitCounters limit_counters_;
  LimitCounters logged_limits_;
  TimePoint limits_logged_at_;
  StreamListener caller_listener_;
  StreamListener peer_listener_;
  Core core_;
  Mailbox<std::function<void()>> mailbox_;
  std::thread thread_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_TRAFFIC_THREAD_H_
