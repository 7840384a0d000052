#include "seal/tokens/token_sealer.h"

#include <sodium.h>

#include <algorithm>
#include <cassert>
#include <cstring>

namespace magnoliareel {
namespace {

constexpr unsigned char kFormatVersion = 1;
constexpr int kBase64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
constexpr size_t kMaxSealedBytes = 16 * 1024;
constexpr uint16_t kMaxWatermarks = 4096;

static_assert(std::tuple_size_v<SealingKey> == crypto_auth_KEYBYTES);

/** Serializes values to bytes: integers in little-endian order, text with a
    16-bit length prefix. */
class ByteWriter {
 public:
  void WriteUint64(uint64_t n) {
    for (int shift = 0; shift < 64; shift += 8) {
      bytes_ += static_cast<char>(n >> shift);
    }
  }
  void WriteUint16(uint16_t n) {
    bytes_ += static_cast<char>(n);
    bytes_ += static_cast<char>(n >> 8);
  }
  void WriteByte(unsigned char n) { bytes_ += static_cast<char>(n); }
  void WriteText(std::string_view text) {
    assert(text.size() <= UINT16_MAX);
    WriteUint16(static_cast<uint16_t>(text.size()));
    bytes_ += text;
  }
  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

/** Deserializes the output of ByteWriter. After reading past the end, IsValid()
    returns false and further reads return empty values. */
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}

  uint64_t ReadUint64() {
    uint64_t n = 0;
    for (const char c : Take(8)) {
      n = (n >> 8) |
          (static_cast<uint64_t>(static_cast<unsigned char>(c)) << 56);
    }
    return n;
  }
  uint16_t ReadUint16() {
    const std::string_view bytes = Take(2);
    return bytes.empty() ? 0
                         : static_cast<uint16_t>(
                               static_cast<unsigned char>(bytes[0]) |
                               (static_cast<unsigned char>(bytes[1]) << 8));
  }
  unsigned char ReadByte() {
    const std::string_view byte = Take(1);
    return byte.empty() ? 0 : static_cast<unsigned char>(byte[0]);
  }
  std::string ReadText() { return std::string(Take(ReadUint16())); }
  bool IsValid() const { return is_valid_; }
  bool IsAtEnd() const { return bytes_.empty(); }

 private:
  std::string_view Take(size_t n) {
    if (!is_valid_ || bytes_.size() < n) {
      is_valid_ = false;
      return {};
    }
    const std::string_view taken = bytes_.substr(0, n);
    bytes_.remove_prefix(n);
    return taken;
  }

  std::string_view bytes_;
  bool is_valid_ = true;
};

std::string EncodeToken(const SessionToken& token) {
  assert(token.watermarks.size() <= kMaxWatermarks);
  ByteWriter writer;
  writer.WriteByte(kFormatVersion);
  writer.WriteText(token.session.value);
  writer.WriteText(token.caller.value);
  writer.WriteText(token.service.value);
  writer.WriteUint16(static_cast<uint16_t>(token.watermarks.size()));
  for (const auto& [group, point, primary, holders] : token.watermarks) {
    writer.WriteText(group.value);
    writer.WriteUint64(point.term.value);
    writer.WriteUint64(point.position.value);
    writer.WriteText(primary.value);
    writer.WriteByte(static_cast<unsigned char>(holders.size()));
    for (const EndpointId& it : holders) {
      writer.WriteText(it.value);
    }
  }
  writer.WriteByte(token.transaction ? 1 : 0);
  if (token.transaction) {
    writer.WriteText(token.transaction->transaction.value);
    writer.WriteText(token.transaction->vm.value);
    writer.WriteText(token.transaction->group.value);
    writer.WriteText(token.transaction->endpoint.value);
  }
  return writer.Take();
}

std::optional<SessionToken> DecodeToken(std::string_view bytes) {
  ByteReader reader(bytes);
  if (reader.ReadByte() != kFormatVersion) {
    return std::nullopt;
  }
  SessionToken token;
  token.session.value = reader.ReadText();
  token.caller.value = reader.ReadText();
  token.service.value = reader.ReadText();
  const uint16_t watermarks = reader.ReadUint16();
  for (uint16_t n = 0; n < watermarks && reader.IsValid(); ++n) {
    GroupWatermark& watermark = token.watermarks.emplace_back();
    watermark.group.value = reader.ReadText();
    watermark.point.term.value = reader.ReadUint64();
    watermark.point.position.value = reader.ReadUint64();
    watermark.primary.value = reader.ReadText();
    const unsigned char holders = reader.ReadByte();
    for (unsigned char k = 0; k < holders && reader.IsValid(); ++k) {
      watermark.holders.push_back({reader.ReadText()});
    }
  }
  if (reader.ReadByte() != 0) {
    TransactionHandle& handle = token.transaction.emplace();
    handle.transaction.value = reader.ReadText();
    handle.vm.value = reader.ReadText();
    handle.group.value = reader.ReadText();
    handle.endpoint.value = reader.ReadText();
  }
  if (!reader.IsValid() || !reader.IsAtEnd()) {
    return std::nullopt;
  }
  return token;
}

/** Checks the alphabet strictly, because the decoder of libsodium accepts some
    bytes outside it as letters. */
bool IsBase64(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
}

const unsigned char* AsBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

bool ParseSealingKey(std::string_view text, SealingKey& out) {
  SealingKey key{};
  size_t n = 0;
  const char* end = nullptr;
  if (text.size() != key.size() * 2 ||
      sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr,
                     &n, &end) != 0 ||
      n != key.size()) {
    return false;
  }
  out = key;
  return true;
}

TokenSealer::TokenSealer(std::vector<SealingKey> keys)
    : keys_(std::move(keys)) {
  assert(!keys_.empty());
  [[maybe_unused]] const int rc = sodium_init();
  assert(rc >= 0);
}

std::string TokenSealer::Seal(const SessionToken& token) const {
  const std::string payload = EncodeToken(token);
  std::string sealed(crypto_auth_BYTES, '\0');
  crypto_auth(reinterpret_cast<unsigned char*>(sealed.data()), AsBytes(payload),
              payload.size(), keys_.front().data());
  sealed += payload;
  std::string text(sodium_base64_encoded_len(sealed.size(), kBase64Variant),
                   '\0');
  sodium_bin2base64(text.data(), text.size(), AsBytes(sealed), sealed.size(),
                    kBase64Variant);
  text.resize(std::strlen(text.c_str()));
  return text;
}

std::optional<SessionToken> TokenSealer::Open(std::string_view text) const {
  if (text.empty() || text.size() > kMaxSealedBytes || !IsBase64(text)) {
    return std::nullopt;
  }
  std::vector<unsigned char> sealed(text.size());
  size_t n = 0;
  const char* end = nullptr;
  if (sodium_base642bin(sealed.data(), sealed.size(), text.data(), text.size(),
                        nullptr, &n, &end, kBase64Variant) != 0 ||
      end != text.data() + text.size() || n < crypto_auth_BYTES) {
    return std::nullopt;
  }
  const std::string_view payload(
      reinterpret_cast<const char*>(sealed.data()) + crypto_auth_BYTES,
      n - crypto_auth_BYTES);
  if (!IsAuthentic(std::span(sealed).first(crypto_auth_BYTES), payload)) {
    return std::nullopt;
  }
  return DecodeToken(payload);
}

bool TokenSealer::IsAuthentic(std::span<const unsigned char> tag,
                              std::string_view payload) const {
  for (const SealingKey& key : keys_) {
    if (crypto_auth_verify(tag.data(), AsBytes(payload), payload.size(),
                           key.data()) == 0) {
      return true;
    }
  }
  return false;
}

}  // namespace magnoliareel
