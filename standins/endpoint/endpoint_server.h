#ifndef MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SERVER_H_
#define MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SERVER_H_

#include <deque>
#include <list>
#include <set>

#include "core/core.h"
#include "http/http.h"
#include "messages/messages.h"
#include "standins/endpoint/database.h"
#include "standins/endpoint/endpoint_faults.h"

namespace magnoliareel::standin {

/** Settings of a stand-in endpoint. */
struct EndpointSettings {
  /** Where it listens. */
  SocketAddress listen;
  /** Statements that run at a time. */
  int64_t slots = 5;
  /** Connections accepted. */
  int64_t connections = 32;
  /** Time to open a connection, in milliseconds. */
  int64_t connect_ms = 12;
  /** Run time of a statement that names none, in microseconds. */
  int64_t run_us = 1000;
  /** Time by which replication lags, in milliseconds. */
  int64_t lag_ms = 20;
};

/** Serves a Database over HTTP: adds slots with a first-in-first-out queue, run
    times, the cost of connections, asynchronous replication and faults.

    Everything but reading and writing sockets happens on one loop.
*/
class EndpointServer {
 public:
  /** @param settings  its settings */
  explicit EndpointServer(EndpointSettings settings);

  /** Begins to listen. @returns kListenFailed if it cannot */
  std::error_code Start();

 private:
  struct Running {
    EndpointCall call;
    HttpResponder responder;
  };
  struct Watcher {
    EndpointCall call;
    HttpResponder responder;
    uint64_t id = 0;
  };

  void Accept(HttpRequest request, const HttpResponder& responder);
  void AcceptFault(const std::string& body, const HttpResponder& responder);
  void AcceptCall(const std::string& body, const HttpResponder& responder);
  void StartReady();
  void FinishRunning(const Running& running);
  void HoldWatch(EndpointCall call, const HttpResponder& responder);
  void HoldReplica(EndpointCall call, const HttpResponder& responder);
  void AnswerWatchers();
  void NoteChange();
  void Answer(const EndpointCall& call,
              EndpointAnswer answer,
              const HttpResponder& responder);
  void FollowPrimary();
  void NoteReplicated(const EndpointCall& call, const HttpReply& reply);
  Duration GetRunTime(const EndpointCall& call) const;

  const EndpointSettings settings_;
  Database database_;
  EndpointFaults faults_;
  std::deque<Running> queue_;
  int64_t running_ = 0;
  std::list<Watcher> watchers_;
  std::vector<HttpResponder> unheard_;
  uint64_t next_watcher_ = 1;
  bool is_fetching_ = false;
  bool is_answering_watchers_ = false;
  HttpClient client_;
  ControlLoop loop_;
  HttpServer server_;
};

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SERVER_H_
