#ifndef MAGNOLIAREEL_STANDINS_SITE_SITE_SERVER_H_
#define MAGNOLIAREEL_STANDINS_SITE_SITE_SERVER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/net.h"
#include "standins/group/group_model.h"
#include "standins/site/store_model.h"

namespace magnoliareel {

/** Where the stand-in listens: port `base` for store, promotions and faults,
    the following ports for the databases. */
struct SiteSettings {
  std::string host = "127.0.0.1";
  int64_t base_port = 9000;
  /** The directory names ports from here on for the databases, if they are
      reached through proxies; 0 for the databases' own ports. */
  int64_t advertised_base_port = 0;
};

/** A whole users' site in one process: the platform's store and promotion call,
    and one group of three databases on the session protocol. Test-only.

    Faults are ordered by POST /fault/NAME: down and up (the store), crash-N,
    dark-N and restart-N (a database), drain-N and stay-N (its directory
    entry), forget (the store's history), config (a new version), lose (one
    answer in ten) and keep (none), slow (replicas apply 60 times as late) and
    quick.
*/
class SiteServer {
 public:
  /** @param loop      serves it; outlives it
      @param settings  where it listens
  */
  SiteServer(EventLoop& loop, SiteSettings settings);
  ~SiteServer();

  /** Starts to listen.

      @returns the system's error if an address cannot be used
  */
  std::error_code Start();
  /** Does or undoes a fault.

      @param fault  its name, see above
      @returns      false if there is no such fault
  */
  bool InjectFault(std::string_view fault);
  /** @returns the databases */
  const GroupModel& GetGroup() const { return group_; }

 private:
  struct Database;
  struct Connection;

  void HandleRequest(const net::Request& request,
                     const net::HttpListener::Answer& answer);
  void HandlePromotion(const net::Request& request,
                       const net::HttpListener::Answer& answer);
  void Accept(size_t member, Stream stream);
  void PublishConfig();
  void PublishEndpoint(size_t member);
  void PublishEndpoints();
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
  std::map<size_t, std::string> published_endpoints_;
  std::map<size_t, bool> draining_;
  LoopTimer publish_timer_;
  uint64_t next_connection_ = 1;
  uint64_t config_version_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_STANDINS_SITE_SITE_SERVER_H_
