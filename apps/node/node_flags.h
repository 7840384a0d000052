#ifndef MAGNOLIAREEL_APPS_NODE_NODE_FLAGS_H_
#define MAGNOLIAREEL_APPS_NODE_NODE_FLAGS_H_

#include <cstdint>
#include <span>
#include <string>

#include "core/core.h"
#include "settings/settings.h"

namespace magnoliareel {

/** Command line flags of magnoliareel-node. */
struct NodeFlags {
  /** Path of the settings file. */
  std::string boot;
  /** Check the settings file and exit. */
  bool check = false;
  /** Port on which metrics are served; 0 disables them. */
  int64_t metrics_port = 0;
};

/** Parses the command line of magnoliareel-node.

    @param args      arguments of the program, starting with its name
    @param out       receives the flags
    @param findings  receives a finding for each fault
    @returns         what the program does next
*/
FlagResult ParseNodeFlags(std::span<char* const> args,
                          NodeFlags& out,
                          Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_APPS_NODE_NODE_FLAGS_H_
