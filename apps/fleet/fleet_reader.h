#ifndef MAGNOLIAREEL_APPS_FLEET_FLEET_READER_H_
#define MAGNOLIAREEL_APPS_FLEET_FLEET_READER_H_

#include <memory>
#include <system_error>
#include <vector>

#include "apps/fleet/fleet_report.h"
#include "net/net.h"
#include "platform/platform.h"

namespace magnoliareel {

/** Reads the state of a deployment: first the tables of the store, then the
    status of every node and endpoint listed in them. */
class FleetReader {
 public:
  /** @param loop   runs the calls; outlives the reader
      @param store  address of the platform's store
  */
  FleetReader(EventLoop& loop, const SocketAddress& store);

  /** Reads the whole state. Runs the loop until every node and endpoint has
      answered or its call has failed or timed out.

      @param out  receives the state
      @returns    an error if a table could not be read from the store
  */
  std::error_code Read(FleetReport& out);

 private:
  void ReadConfig();
  void ReadDuties();
  void ReadNodes();
  void ReadEndpoints();
  void QueryNode(size_t index);
  void QueryEndpoint(size_t index);
  void FinishCall(std::error_code ec);

  EventLoop& loop_;
  platform::StoreClient store_;
  platform::EndpointCommandClient commands_;
  std::vector<std::unique_ptr<net::HttpConnection>> connections_;
  FleetReport* report_ = nullptr;
  std::error_code error_;
  size_t pending_calls_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_FLEET_FLEET_READER_H_
