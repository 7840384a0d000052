#ifndef MAGNOLIAREEL_APPS_FLEET_FLEET_READER_H_
#define MAGNOLIAREEL_APPS_FLEET_FLEET_READER_H_

#include <memory>
#include <system_error>
#include <vector>

#include "apps/fleet/fleet_report.h"
#include "net/net.h"
#include "platform/platform.h"

namespace magnoliareel {

/** Reads a deployment's state: tables from the store, then every node and
    endpoint that they name. */
class FleetReader {
 public:
  /** @param loop   serves the calls; outlives the reader
      @param store  the platform's store
  */
  FleetReader(EventLoop& loop, const SocketAddress& store);

  /** Reads everything; returns when all have answered or were given up.

      @param out  receives the state
      @returns    an error if the store did not answer
  */
  std::error_code Read(FleetReport& out);

 private:
  void ReadConfig();
  void ReadDuties();
  void ReadNodes();
  void ReadEndpoints();
  void AskNode(size_t index);
  void AskEndpoint(size_t index);
  void End(std::error_code ec);

  EventLoop& loop_;
  platform::StoreClient store_;
  platform::EndpointCommandClient orders_;
  std::vector<std::unique_ptr<net::HttpConnection>> connections_;
  FleetReport* report_ = nullptr;
  std::error_code error_;
  size_t pending_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_FLEET_FLEET_READER_H_
