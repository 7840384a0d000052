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

/** @param text  64 hex digits
    @param out   receives the key
    @returns     false if the text is no such key
*/
bool ParseSealingKey(std::string_view text, SealingKey& out);

/** Turns session tokens into text that callers carry and cannot change.

    Several keys can be in force during a rotation: the first one seals, all of
    them open.

    @see SessionToken
*/
class TokenSealer {
 public:
  /** @param keys  at least one key, the sealing one first */
  explicit TokenSealer(std::vector<SealingKey> keys);

  /** @param token  any token  @returns its sealed text */
  std::string Seal(const SessionToken& token) const;

  /** @param text  what a caller presented
      @returns     the token; nothing if it was not sealed with a key in force
  */
  std::optional<SessionToken> Open(std::string_view text) const;

 private:
  bool IsAuthentic(std::span<const unsigned char> tag,
                   std::string_view payload) const;

  std::vector<SealingKey> keys_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SEAL_TOKENS_TOKEN_SEALER_H_
