#ifndef MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SETTINGS_H_
#define MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SETTINGS_H_

#include <cstdint>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel::standin {

/** Settings of a stand-in endpoint. */
struct EndpointSettings {
  /** Address to listen on. */
  SocketAddress listen;
  /** Number of statements that run concurrently. */
  int64_t slots = 5;
  /** Largest number of open connections. */
  int64_t connections = 32;
  /** Time to open a connection, in milliseconds. */
  int64_t connect_ms = 12;
  /** Run time of a statement that doesn't state one, in microseconds. */
  int64_t run_us = 1000;
  /** Initial replication lag, in milliseconds. */
  int64_t lag_ms = 20;
};

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SETTINGS_H_
