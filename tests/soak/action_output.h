#ifndef MAGNOLIAREEL_TESTS_SOAK_ACTION_OUTPUT_H_
#define MAGNOLIAREEL_TESTS_SOAK_ACTION_OUTPUT_H_

#include <cstddef>
#include <cstdio>
#include <string_view>

namespace magnoliareel {

/** Prints a line on standard output for scripts/run-soak, which carries out the
    actions on nodes and logs all lines with the time.

    @param action  an action on a node, "fault" and the name of a fault, or
                   "supervise"
    @param index   number of the node, or index of the database
*/
inline void PrintAction(std::string_view action, size_t index) {
  std::printf("%.*s %zu\n", static_cast<int>(action.size()), action.data(),
              index);
  std::fflush(stdout);
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_SOAK_ACTION_OUTPUT_H_
