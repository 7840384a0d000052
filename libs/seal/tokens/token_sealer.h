#ifndef MAGNOLIAREEL_SEAL_TOKENS_TOKEN_SEALER_H_
#define MAGNOLIAREEL_SEAL_TOKENS_TOKEN_SEALER_H_

#include <array>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "session/session.h"

namespace magnoliareel {

/** A key that authenticates session tokens. */
using SealingKey = std::array<unsigned char, 32>;

/** Parses a key.

    @param text  64 hex digits
    @param out   receives the key; unchanged on failure
    @returns     false if the text has another form
*/
bool ParseSealingKey(std::string_view text, SealingKey& out);

/** Encodes session tokens as text that callers store and send back but cannot
    modify unnoticed. Tokens are authenticated, not encrypted.

    During a key rotation several keys are valid: tokens are sealed with the
    first key and opened with any of them.

    @see SessionToken
*/
class TokenSealer {
 public:
  /** @param keys  at least one key; the first one seals */
  explicit TokenSealer(std::vector<SealingKey> keys);

  /** Encodes and authenticates a token.

      @param token  any token
      @returns      the sealed token, as URL-safe Base64 text
  */
  std::string Seal(const SessionToken& token) const;

  /** Verifies and decodes a sealed token.

      @param text  text presented by a caller
      @returns     the token; no value if it was not sealed with a valid key
  */
  std::optional<SessionToken> Open(std::string_view text) const;

 private:
  bool IsAuthentic(std::span<const unsigned char> tag,
                   std::string_view payload) const;

  std::vector<SealingKey> keys_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SEAL_TOKENS_TOKEN_SEALER_H_
