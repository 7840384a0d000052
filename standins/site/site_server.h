#ifndef MAGNOLIAREEL_STANDINS_SITE_SITE_SERVER_H_
#define MAGNOLIAREEL_STANDINS_SITE_SITE_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/net.h"
#include "standins/group/group_model.h"
#include "standins/site/store_model.h"

namespace magnoliareel {

/** Addresses of the stand-in: base_port serves the store, promotions and
    faults, the following ports serve one database each. */
struct SiteSettings {
  std::string host = "127.0.0.1";
  int64_t base_port = 9000;
  /** If the databases are reached through proxies: the base port of these. The
      directory then lists the ports that follow it. 0 lists the databases' own
      ports. */
  int64_t advertised_base_port = 0;
  /** The databases; those of the service groyne-logs. */
  GroupOptions group;
};

/** A call that requests a promotion. */
struct PromotionCall {
  /** Name of the node that holds the duty. */
  std::string holder;
  /** Id of the database to be promoted. */
  std::string endpoint;
  uint64_t fencing_token = 0;
};

/** Runs a whole users' site in one process: the platform's store and promotion
    call, and one group of three databases that speak the session protocol.
    Test-only.

    POST /fault/NAME injects a fault or ends it. N is the index of a database:

    - down, up: the store answers every request with 503, or serves again
    - mute, speak: the store executes requests and loses its answers, or answers
      again; a connection on which an answer was lost delivers nothing more
    - crash-N, dark-N: a database stops, and closes its connections and refuses
      new ones, or leaves them open without an answer; its entry expires
    - restart-N: a stopped database starts again
    - drain-N, stay-N: the directory lists a database as draining, or as ready
    - deaf-N, hear-N: a database neither receives nor sends commits, or does
    - leave-N, join-N: a database ends for good and its entry is removed, or a
      new one with an id and an entry of its own takes its place
    - forget: the store discards its history, so that reads of the feed from
      earlier versions fail
    - config: a new version of the configuration is published
    - copy, restore: the store takes a copy of its rows, or is restored from it
      while the operator publishes a new version of the configuration
    - lose, keep: the databases drop one answer in ten, or none
    - refuse, accept: the databases refuse every PREPARE and SET, or none
    - oblivious, attentive: every new connection to a database forgets its
      prepared statements once, or none does
    - slow, quick: replicas apply commits with 60 times the delay, or with the
      usual one

    GET /executed lists what the databases ran, in order, as JSON:

    - statements: for each the id, database, connection, transaction (0
      without), text, values, and for an execution the name and the shape of
      the prepared statement, such as "READ q12"
    - prepared: the fields of PreparedCounts
*/
class SiteServer {
 public:
  /** @param loop      runs the site; must outlive it
      @param settings  addresses to listen on
  */
  SiteServer(EventLoop& loop, SiteSettings settings);
  ~SiteServer();

  /** Starts to listen.

      @returns the system error if an address cannot be used
  */
  std::error_code Start();
  /** Injects a fault or ends it.

      @param fault  name of the fault, as in the class comment
      @returns      false if there is no fault of that name
  */
  bool InjectFault(std::string_view fault);
  /** @returns the group of databases, for the checks of tests */
  const GroupModel& GetGroup() const { return group_; }
  /** @param observer  called with each call for a promotion before it is
                       carried out. Returns 0, or the time after which the call
                       is carried out without an answer. */
  void SetPromotionObserver(
      std::function<Duration(const PromotionCall&)> observer) {
    promotion_observer_ = std::move(observer);
  }

 private:
  struct Database;
  struct Connection;

  void HandleRequest(const net::Request& request,
                     const net::HttpListener::Answer& answer);
  std::string FormatExecuted() const;
  void HandlePromotion(const net::Request& request,
                       const net::HttpListener::Answer& answer);
  void Accept(size_t member, Stream stream);
  void PublishConfig();
  void PublishEndpoint(size_t member);
  void PublishEndpoints();
  bool InjectStatementFault(std::string_view name);
  bool InjectMembershipFault(std::string_view name, size_t member);
  void StopMember(size_t member, bool is_silent);
  bool RestartMember(size_t member);
  /** @returns false if the database's address cannot be used */
  bool Listen(size_t member);
  void RemoveMember(size_t member);
  void RunAfter(Duration pause, std::function<void()> task);
  uint16_t GetPort(size_t offset) const {
    return static_cast<uint16_t>(settings_.base_port +
                                 static_cast<int64_t>(offset));
  }

  EventLoop& loop_;
  const SiteSettings settings_;
  StoreModel store_;
  GroupModel group_;
  net::HttpListener http_;
  std::vector<std::unique_ptr<StreamListener>> databases_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closing_connections_;
  /** The entries of the databases without their report numbers. */
  std::map<size_t, std::string> published_endpoints_;
  uint64_t report_count_ = 0;
  std::map<size_t, bool> draining_;
  bool is_store_mute_ = false;
  /** When the members that have crashed stopped. */
  std::map<size_t, TimePoint> stopped_at_;
  std::function<Duration(const PromotionCall&)> promotion_observer_ =
      [](const PromotionCall&) { return Duration{}; };
  LoopTimer publish_timer_;
  uint64_t next_connection_ = 1;
  uint64_t config_version_ = 1;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STANDINS_SITE_SITE_SERVER_H_
