#ifndef MAGNOLIAREEL_SETTINGS_SETTINGS_H_
#define MAGNOLIAREEL_SETTINGS_SETTINGS_H_

/** @file
    @brief Module settings: reads the settings of a program from flags and
    environment variables and reports all errors together.

    Depends on core and popt.

    Topics: flags/ (command-line parser), exit_code.h.
*/
#include "settings/exit_code.h"
#include "settings/flags/flag_table.h"

#endif  // MAGNOLIAREEL_SETTINGS_SETTINGS_H_
