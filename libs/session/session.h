#ifndef MAGNOLIAREEL_SESSION_SESSION_H_
#define MAGNOLIAREEL_SESSION_SESSION_H_

/** @file
    @brief Module session: the state of a session and the checks whether an
    endpoint's data is recent enough for it.

    Depends on core and messages.

    Topics: tokens/ (content of the session token), freshness/ (checks of
    positions and ages for reads).
*/
#include "session/freshness/freshness.h"
#include "session/tokens/session_token.h"

#endif  // MAGNOLIAREEL_SESSION_SESSION_H_
