#ifndef MAGNOLIAREEL_APPS_NODE_NODE_FLAGS_H_
#define MAGNOLIAREEL_APPS_NODE_NODE_FLAGS_H_

#include <cstdint>
#include <span>
#include <string>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** The flags of magnoliareel-node. */
struct NodeFlags {
  /** Path of the settings file. */
  std::string boot;
  /** Only check the settings file. */
  bool check = false;
  /** Port on which metrics are served; 0 serves none. */
  int64_t metrics_port = 0;
};

/** @param args      the program's arguments, its name first
    @param out       receives the flags
    @param findings  receives every fault
    @returns         what the program does next
*/
FlagResult ParseNodeFlags(std::span<char* const> args,
                          NodeFlags& out,
                          Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_NODE_FLAGS_H_
