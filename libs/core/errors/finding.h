#ifndef MAGNOLIAREEL_CORE_ERRORS_FINDING_H_
#define MAGNOLIAREEL_CORE_ERRORS_FINDING_H_

#include <string>
#include <system_error>

namespace magnoliareel {

/** A fault in an input, with its location.

    @see Findings
*/
struct Finding {
  /** JSON pointer into a message or document, or "--name" for a setting. */
  std::string place;
  /** Kind of fault. */
  std::error_code code;
  /** Description of the fault: what was found or what is expected. */
  std::string message;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_ERRORS_FINDING_H_
