#include "seal/keys/hashing.h"

#include <sodium.h>

#include <array>
#include <vector>

namespace magnoliareel {
namespace {

constexpr size_t kRandomIdBytes = 16;

std::string ToHex(std::span<const unsigned char> bytes) {
  std::vector<char> buf(bytes.size() * 2 + 1);
  sodium_bin2hex(buf.data(), buf.size(), bytes.data(), bytes.size());
  return {buf.data(), bytes.size() * 2};
}

}  // namespace

std::string HashSha256(std::string_view text) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> hash{};
  crypto_hash_sha256(hash.data(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size());
  return ToHex(hash);
}

bool IsKeyKnown(std::string_view key, std::span<const std::string> hashes) {
  const std::string hash = HashSha256(key);
  bool is_known = false;
  for (const std::string& it : hashes) {
    is_known |= it.size() == hash.size() &&
                sodium_memcmp(it.data(), hash.data(), hash.size()) == 0;
  }
  return is_known;
}

std::string MakeRandomId() {
  std::array<unsigned char, kRandomIdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return ToHex(bytes);
}

}  // namespace magnoliareel
