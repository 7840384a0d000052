#ifndef MAGNOLIAREEL_SEAL_SEAL_H_
#define MAGNOLIAREEL_SEAL_SEAL_H_

/** @file
    @brief Module seal: authenticated encoding of session tokens, and hashes of
    keys and documents.

    Depends on core, session and libsodium.

    Topics: tokens/ (sealing tokens), keys/ (hashes, random names).
*/
#include "seal/keys/hashing.h"
#include "seal/tokens/token_sealer.h"

#endif  // MAGNOLIAREEL_SEAL_SEAL_H_
