#ifndef MAGNOLIAREEL_CORE_ERRORS_FINDING_H_
#define MAGNOLIAREEL_CORE_ERRORS_FINDING_H_

#include <string>
#include <system_error>

namespace magnoliareel {

/** One fault in an input, with the place where it stands.

    @see Findings
*/
struct Finding {
  /** JSON pointer into a message or document, or "--name" for a setting. */
  std::string place;
  /** What kind of fault it is. */
  std::error_code code;
  /** What was found and what was expected. */
  std::string message;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_ERRORS_FINDING_H_
