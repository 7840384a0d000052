#ifndef MAGNOLIAREEL_PROCESS_REPORT_SETTINGS_FINDINGS_H_
#define MAGNOLIAREEL_PROCESS_REPORT_SETTINGS_FINDINGS_H_

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Prints all findings of FlagTable::Parse() to standard error, or nothing if
    help or the version was printed.

    @param result    result of FlagTable::Parse(), not kRun
    @param findings  findings of FlagTable::Parse()
    @returns         exit code of the program
*/
int ReportSettingsFindings(FlagResult result, const Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_PROCESS_REPORT_SETTINGS_FINDINGS_H_
