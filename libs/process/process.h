#ifndef MAGNOLIAREEL_PROCESS_PROCESS_H_
#define MAGNOLIAREEL_PROCESS_PROCESS_H_

/** @file
    @brief Module process: what every program does around its work: signals and
    the report of faulty settings.

    Depends on core and settings.
*/
#include "process/report_settings_findings.h"
#include "process/stop_signals.h"

#endif  // MAGNOLIAREEL_PROCESS_PROCESS_H_
