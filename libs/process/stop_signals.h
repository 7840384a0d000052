#ifndef MAGNOLIAREEL_PROCESS_STOP_SIGNALS_H_
#define MAGNOLIAREEL_PROCESS_STOP_SIGNALS_H_

namespace magnoliareel {

/** Keeps SIGTERM and SIGINT for WaitForStopSignal(); called first of all, so
    that every thread inherits it. Ignores SIGPIPE. */
void BlockStopSignals();

/** Sleeps until SIGTERM or SIGINT arrives. */
void WaitForStopSignal();

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_PROCESS_STOP_SIGNALS_H_
