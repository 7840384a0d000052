#ifndef MAGNOLIAREEL_SEAL_KEYS_HASHING_H_
#define MAGNOLIAREEL_SEAL_KEYS_HASHING_H_

#include <span>
#include <string>
#include <string_view>

#include "core/core.h"

namespace magnoliareel {

/** @param text  any bytes  @returns their SHA-256 in lower-case hex */
std::string HashSha256(std::string_view text);

/** @param key     key presented by a caller
    @param hashes  hashes of the keys that are in force
    @returns       true if the key's hash is among them
*/
bool IsKeyKnown(std::string_view key, std::span<const std::string> hashes);

/** @returns 128 random bits in hex, for names that must not collide */
std::string MakeRandomId();

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SEAL_KEYS_HASHING_H_
