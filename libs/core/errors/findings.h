#ifndef MAGNOLIAREEL_CORE_ERRORS_FINDINGS_H_
#define MAGNOLIAREEL_CORE_ERRORS_FINDINGS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/errors/error.h"
#include "core/errors/finding.h"

namespace magnoliareel {

/** Collects all faults of an input, so that they are reported together.

    @see Finding
*/
class Findings {
 public:
  /** Adds a fault.

      @param place    JSON pointer, or "--name" for a setting
      @param code     kind of fault
      @param message  what was found or what is expected
  */
  void Add(std::string_view place, Error code, std::string_view message);

  /** @returns true if no fault was found */
  bool IsEmpty() const { return list_.empty(); }
  /** @returns the faults in the order in which they were found */
  std::span<const Finding> GetList() const { return list_; }
  /** @returns one line per fault with place, name of the error and message */
  std::string FormatLines() const;

 private:
  std::vector<Finding> list_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_ERRORS_FINDINGS_H_
