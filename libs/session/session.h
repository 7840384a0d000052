#ifndef MAGNOLIAREEL_SESSION_SESSION_H_
#define MAGNOLIAREEL_SESSION_SESSION_H_

/** @file
    @brief Module session: what a session remembers, and when an endpoint's
    state satisfies it.

    Depends on core and messages.

    Topics: tokens/ (the session token's content), freshness/ (read rules).
*/
#include "session/freshness/freshness.h"
#include "session/tokens/session_token.h"

#endif  // MAGNOLIAREEL_SESSION_SESSION_H_
