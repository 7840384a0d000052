#ifndef MAGNOLIAREEL_PROCESS_PROCESS_H_
#define MAGNOLIAREEL_PROCESS_PROCESS_H_

/** @file
    @brief Module process: tasks common to the main functions of all programs:
    signal handling and the report of invalid settings.

    Depends on core and settings.
*/
#include "process/report_settings_findings.h"
#include "process/stop_signals.h"

#endif  // MAGNOLIAREEL_PROCESS_PROCESS_H_
