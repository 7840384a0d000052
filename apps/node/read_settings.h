#ifndef MAGNOLIAREEL_APPS_NODE_READ_SETTINGS_H_
#define MAGNOLIAREEL_APPS_NODE_READ_SETTINGS_H_

#include <string>

#include "control/control.h"
#include "core/core.h"

namespace magnoliareel {

/** Reads and checks the settings file.

    @param path      the file
    @param out       receives the settings; complete only without findings
    @param findings  receives every fault with its place
*/
void ReadNodeSettings(const std::string& path,
                      NodeSettings& out,
                      Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_READ_SETTINGS_H_
