#ifndef MAGNOLIAREEL_DIRECTORY_TEAMS_KEY_DIGEST_H_
#define MAGNOLIAREEL_DIRECTORY_TEAMS_KEY_DIGEST_H_

#include <string>
#include <string_view>

#include "directory/model/team_table.h"

namespace magnoliareel {

/** Computes the digest under which a caller's key is kept.

    @param key  the key, any bytes
    @returns    its BLAKE2b digest
*/
KeyDigest DigestKey(std::string_view key);

/** @param digest  any digest
    @returns        its encoding, lower-case hex digits
    @see ParseKeyDigest
*/
std::string FormatKeyDigest(const KeyDigest& digest);

/** @param text  hex digits
    @param out   receives the digest
    @returns     false if the text is not the encoding of a digest
    @see FormatKeyDigest
*/
bool ParseKeyDigest(std::string_view text, KeyDigest& out);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DIRECTORY_TEAMS_KEY_DIGEST_H_
