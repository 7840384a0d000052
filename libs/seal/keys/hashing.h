#ifndef MAGNOLIAREEL_SEAL_KEYS_HASHING_H_
#define MAGNOLIAREEL_SEAL_KEYS_HASHING_H_

#include <span>
#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** Computes a SHA-256 hash.

    @param text  any bytes
    @returns     their hash, as 64 lower-case hex digits
*/
std::string HashSha256(std::string_view text);

/** Checks a key of a caller; hashes are compared in constant time.

    @param key     key presented by a caller
    @param hashes  SHA-256 hashes of the valid keys
    @returns       true if the hash of the key is among them
*/
bool IsKeyKnown(std::string_view key, std::span<const std::string> hashes);

/** @returns 128 random bits, as lower-case hex digits, for IDs that must not
             collide
*/
std::string MakeRandomId();

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SEAL_KEYS_HASHING_H_
