#ifndef MAGNOLIAREEL_PROCESS_REPORT_SETTINGS_FINDINGS_H_
#define MAGNOLIAREEL_PROCESS_REPORT_SETTINGS_FINDINGS_H_

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Prints findings of the settings, all together, to standard error.

    @param result    result of FlagTable::Parse(), not kRun
    @param findings  its findings
    @returns         the program's exit code
*/
int ReportSettingsFindings(FlagResult result, const Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_PROCESS_REPORT_SETTINGS_FINDINGS_H_
