#include "directory/teams/key_digest.h"

#include <sodium.h>

namespace magnoliareel {

KeyDigest DigestKey(std::string_view key) {
  KeyDigest digest;
  crypto_generichash(digest.bytes.data(), digest.bytes.size(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), nullptr, 0);
  return digest;
}

std::string FormatKeyDigest(const KeyDigest& digest) {
  // The encoder also writes a terminating zero.
  std::string text(2 * digest.bytes.size() + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), digest.bytes.data(),
                 digest.bytes.size());
  text.pop_back();
  return text;
}

bool ParseKeyDigest(std::string_view text, KeyDigest& out) {
  size_t n = 0;
  const char* end = nullptr;
  return text.size() == 2 * out.bytes.size() &&
         sodium_hex2bin(out.bytes.data(), out.bytes.size(), text.data(),
                        text.size(), nullptr, &n, &end) == 0 &&
         n == out.bytes.size();
}

}  // namespace magnoliareel
