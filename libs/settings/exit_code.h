#ifndef MAGNOLIAREEL_SETTINGS_EXIT_CODE_H_
#define MAGNOLIAREEL_SETTINGS_EXIT_CODE_H_

namespace magnoliareel {

/** Exit codes of every program; scripts may rely on them. */
enum ExitCode : int {
  /** The program did what it was asked. */
  kExitOk = 0,
  /** The work failed for a reason that was printed. */
  kExitFailed = 1,
  /** A flag or environment variable has a fault. */
  kExitBadSettings = 2,
  /** The listen address cannot be used. */
  kExitCannotListen = 3,
  /** The input document or history has findings. */
  kExitFindings = 4,
  /** Another operator's change came first. */
  kExitConflict = 5,
  /** The platform's store or a process could not be reached. */
  kExitUnreachable = 6,
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SETTINGS_EXIT_CODE_H_
