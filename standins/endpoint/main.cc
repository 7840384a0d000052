#include <span>

#include "settings/settings.h"
#include "standins/endpoint/endpoint_server.h"
#include "standins/support/run_server.h"

namespace magnoliareel::standin {
namespace {

FlagResult ParseSettings(std::span<char* const> args,
                         EndpointSettings& out,
                         Findings& findings) {
  FlagTable table("standin-endpoint", "A database endpoint for tests.");
  table.AddAddress("listen", "address to listen on", true, out.listen);
  table.AddNumber("slots", "statements that run at a time", 1, 1000, out.slots);
  table.AddNumber("connections", "connections accepted", 1, 10000,
                  out.connections);
  table.AddNumber("connect-ms", "time to open a connection, ms", 0, 10000,
                  out.connect_ms);
  table.AddNumber("run-us", "run time of a statement, us", 0, 10000000,
                  out.run_us);
  table.AddNumber("lag-ms", "time by which replication lags, ms", 0, 600000,
                  out.lag_ms);
  return table.Parse(args, findings);
}

}  // namespace
}  // namespace magnoliareel::standin

int main(int argc, char** argv) {
  using namespace magnoliareel::standin;
  return RunServer<EndpointServer>({argv, static_cast<size_t>(argc)},
                                   &ParseSettings);
}
