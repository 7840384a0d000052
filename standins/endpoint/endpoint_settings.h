#ifndef MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SETTINGS_H_
#define MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SETTINGS_H_

#include <cstdint>

#include "core/core.h"
#include "settings/settings.h"

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

}  // namespace magnoliareel::standin

#endif  // MAGNOLIAREEL_STANDINS_ENDPOINT_ENDPOINT_SETTINGS_H_
