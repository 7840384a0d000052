#ifndef MAGNOLIAREEL_PROCESS_STOP_SIGNALS_H_
#define MAGNOLIAREEL_PROCESS_STOP_SIGNALS_H_

namespace magnoliareel {

/** Blocks SIGTERM and SIGINT, so that WaitForStopSignal() receives them, and
    ignores SIGPIPE. Must be called before any thread is started, so that all
    threads inherit the signal mask. */
void BlockStopSignals();

/** Blocks until SIGTERM or SIGINT arrives. @see BlockStopSignals */
void WaitForStopSignal();

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_PROCESS_STOP_SIGNALS_H_
