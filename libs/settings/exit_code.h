#ifndef MAGNOLIAREEL_SETTINGS_EXIT_CODE_H_
#define MAGNOLIAREEL_SETTINGS_EXIT_CODE_H_

namespace magnoliareel {

/** Exit codes of every program; scripts may rely on them. */
enum ExitCode : int {
  /** The program succeeded. */
  kExitOk = 0,
  /** The program failed; the reason was printed. */
  kExitFailed = 1,
  /** A flag or environment variable is invalid. */
  kExitBadSettings = 2,
  /** The listen address cannot be used. */
  kExitCannotListen = 3,
  /** The input document or history has findings. */
  kExitFindings = 4,
  /** The change conflicts with a concurrent change by another operator. */
  kExitConflict = 5,
  /** The platform's store or a process could not be reached. */
  kExitUnreachable = 6,
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SETTINGS_EXIT_CODE_H_
