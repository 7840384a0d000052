#ifndef MAGNOLIAREEL_SEAL_SEAL_H_
#define MAGNOLIAREEL_SEAL_SEAL_H_

/** @file
    @brief Module seal: authenticated encoding of session tokens, hashes of keys
    and documents, and random IDs.

    Depends on core, session and libsodium.

    Topics: tokens/ (sealing and opening tokens), keys/ (hashes, random IDs).
*/
#include "seal/keys/hashing.h"
#include "seal/tokens/token_sealer.h"

#endif  // MAGNOLIAREEL_SEAL_SEAL_H_
