#ifndef MAGNOLIAREEL_SETTINGS_SETTINGS_H_
#define MAGNOLIAREEL_SETTINGS_SETTINGS_H_

/** @file
    @brief Module settings: reads a program's settings from flags and
    environment variables and reports every fault at once.

    Depends on core and popt.

    Topics: flags/ (the table of a program's flags), exit_code.h.
*/
#include "settings/exit_code.h"
#include "settings/flags/flag_table.h"

#endif  // MAGNOLIAREEL_SETTINGS_SETTINGS_H_
