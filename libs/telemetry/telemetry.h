#ifndef MAGNOLIAREEL_TELEMETRY_TELEMETRY_H_
#define MAGNOLIAREEL_TELEMETRY_TELEMETRY_H_

/** @file
    @brief Module telemetry: numbered log events and metrics.

    Depends on core, easylogging++ and prometheus-cpp.

    Topics: events/ (event catalogue and log), metrics/ (statement metrics per
    caller and class, gauges).
*/
#include "telemetry/events/event.h"
#include "telemetry/events/event_log.h"
#include "telemetry/metrics/gauge_snapshot.h"
#include "telemetry/metrics/statement_metrics.h"

#endif  // MAGNOLIAREEL_TELEMETRY_TELEMETRY_H_
