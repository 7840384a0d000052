#ifndef MAGNOLIAREEL_APPS_NODE_READ_SETTINGS_H_
#define MAGNOLIAREEL_APPS_NODE_READ_SETTINGS_H_

#include <string>

#include "control/control.h"
#include "core/core.h"

namespace magnoliareel {

/** Reads and checks the settings file.

    @param path      path of the file
    @param out       receives the settings; complete only without findings
    @param findings  receives a finding for each fault, with its JSON pointer
*/
void ReadNodeSettings(const std::string& path,
                      NodeSettings& out,
                      Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_READ_SETTINGS_H_
