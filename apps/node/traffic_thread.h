#ifndef MAGNOLIAREEL_APPS_NODE_TRAFFIC_THREAD_H_
#define MAGNOLIAREEL_APPS_NODE_TRAFFIC_THREAD_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "net/net.h"
#include "platform/platform.h"
#include "relay/relay.h"

namespace magnoliareel {

/** What the control thread is told by the traffic. */
struct TrafficNotice {
  /** An endpoint's condition, if no leader is named. */
  ConditionReport report;
  /** The endpoint proved that it leads. */
  bool proven_leader = false;
  /** Term of the proof. */
  Term term;
  /** A freshness bound is asked for; nothing else is said then. */
  std::optional<BoundQuestion> question;
};

/** The thread that serves callers: its event loop, its sockets, and the core
    that decides.

    Construction and the methods of the first block belong to the control
    thread; the others are called by the core. @see TrafficNet
*/
class TrafficThread {
 public:
  /** @param options  for the core
      @param notify   called on the traffic thread; must not block
      @param metrics  takes the figures of statements; outlives the thread
  */
  TrafficThread(TrafficOptions options,
                std::function<void(const TrafficNotice&)> notify,
                StatementMetrics& metrics);
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /** Listens and starts the thread.

      @param address  where callers connect
      @returns        the system's error if the address cannot be used
  */
  std::error_code Start(const SocketAddress& address);
  /** Hands over a view of routes and endpoints. */
  void Publish(std::shared_ptr<const FleetView> view);
  /** Hands over that an endpoint was promoted. */
  void AnnouncePrimary(const ServiceId& service, const EndpointId& endpoint);
  /** @see TrafficCore::AnswerBound; the answer comes on the traffic thread */
  void AnswerBound(const BoundQuestion& question,
                   std::function<void(const PeerBound&)> answer);
  /** @see TrafficCore::TakeBound */
  void TakeBound(const PeerBound& bound, TimePoint asked_at);
  /** @see TrafficCore::AskPrimary */
  void AskPrimary(const ServiceId& service);
  /** Starts to end sessions. */
  void BeginDrain(Duration transaction_grace, Duration statement_grace);
  /** Collects the figures of the pools.

      @param done  called on the traffic thread with them
  */
  void Collect(std::function<void(GaugePage)> done);
  /** Accepts no further callers. */
  void StopAccepting();
  /** @returns number of callers' sessions, as of the last event */
  size_t CountSessions() const { return sessions_.load(); }
  /** Ends the thread; sessions that remain are cut. */
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
  void Wake(TimePoint moment);
  /** @see TrafficNet */
  void Report(const ConditionReport& report);
  /** @see TrafficNet */
  void Observe(const StatementSample& sample) { metrics_.Observe(sample); }
  /** @see TrafficNet */
  void LeaderSeen(const EndpointId& endpoint, Term term);
  /** @see TrafficNet */
  void AskPeers(const BoundQuestion& question);

 private:
  using Core = TrafficCore<platform::LineDialect, TrafficThread>;

  /** A connection whose lines go to the core. */
  struct Link {
    TrafficThread* owner = nullptr;
    uint64_t id = 0;
    bool from_caller = false;
    bool dirty = false;
    Stream stream;
    platform::LineFramer framer;

    void HandleOpened();
    void HandleBytes(std::string_view bytes);
    void HandleClosed(std::error_code ec);
  };
  using Links = std::unordered_map<uint64_t, std::unique_ptr<Link>>;

  void Accept(Stream stream);
  std::string& GetBuffer(Links& links, uint64_t id);
  void Retire(Links& links, uint64_t id);
  /** Sends what the event has produced and frees what it has closed. */
  void EndEvent();

  EventLoop loop_;
  std::function<void(const TrafficNotice&)> notify_;
  StatementMetrics& metrics_;
  Links callers_;
  Links endpoints_;
  std::vector<Link*> dirty_;
  std::vector<std::unique_ptr<Link>> retired_;
  std::string discarded_;
  uint64_t next_caller_ = 1;
  std::atomic<size_t> sessions_ = 0;
  LoopTimer wake_timer_;
  StreamListener listener_;
  Core core_;
  Mailbox<std::function<void()>> mailbox_;
  std::thread thread_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_TRAFFIC_THREAD_H_
