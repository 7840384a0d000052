#include <random>
#include <string>

#include "seal/seal.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

SealingKey MakeKey(unsigned char fill) {
  SealingKey key{};
  key.fill(fill);
  return key;
}

SessionToken MakeToken() {
  SessionToken token;
  token.session.value = "s-1";
  token.caller.value = "crew-7";
  token.service.value = "groyne-logs";
  token.RaiseWatermark({{"groyne-a"},
                        {{3}, {1234567890123}},
                        {"groyne-a-1"},
                        {{"groyne-a-1"}, {"groyne-a-2"}}});
  token.transaction =
      TransactionHandle{{"t-9"}, {"vm-1"}, {"groyne-a"}, {"groyne-a-1"}};
  return token;
}

}  // namespace

TEST_GROUP(Sealer) {
  const TokenSealer sealer{{MakeKey(1)}};
};

TEST(Sealer, OpensSealedTokens) {
  CHECK(sealer.Open(sealer.Seal(MakeToken())) == MakeToken());
  CHECK(sealer.Open(sealer.Seal(SessionToken{})) == SessionToken{});
}

TEST(Sealer, RejectsTokensWithAChangedCharacter) {
  const std::string text = sealer.Seal(MakeToken());
  for (size_t n = 0; n < text.size(); ++n) {
    std::string changed = text;
    changed[n] = changed[n] == 'A' ? 'B' : 'A';
    CHECK(!sealer.Open(changed));
  }
}

TEST(Sealer, RejectsRandomlyChangedTokens) {
  std::mt19937_64 random(7);
  const std::string valid = sealer.Seal(MakeToken());
  for (int n = 0; n < 10000; ++n) {
    std::string text = valid;
    const size_t changes = 1 + random() % 8;
    for (size_t k = 0; k < changes; ++k) {
      switch (random() % 3) {
        case 0:
          text[random() % text.size()] = static_cast<char>(random() % 256);
          break;
        case 1:
          text.resize(random() % (text.size() + 1));
          break;
        default:
          text.insert(random() % (text.size() + 1), 1,
                      static_cast<char>(random() % 256));
      }
      if (text.empty()) {
        break;
      }
    }
    if (text != valid) {
      CHECK(!sealer.Open(text));
    }
  }
}

TEST(Sealer, OpensWithAllKeysAndSealsWithTheFirst) {
  const TokenSealer rotated({MakeKey(2), MakeKey(1)});
  const TokenSealer new_key_only({MakeKey(2)});
  CHECK(rotated.Open(sealer.Seal(MakeToken())) == MakeToken());
  CHECK(new_key_only.Open(rotated.Seal(MakeToken())) == MakeToken());
  CHECK(!new_key_only.Open(sealer.Seal(MakeToken())));
}

TEST(Sealer, ParsesOnlyKeysOf64HexDigits) {
  SealingKey key{};
  CHECK(ParseSealingKey(std::string(64, 'a'), key));
  CHECK_FALSE(ParseSealingKey(std::string(62, 'a'), key));
  CHECK_FALSE(ParseSealingKey(std::string(63, 'a') + "g", key));
}

TEST_GROUP(Hashing){};

TEST(Hashing, RecognizesKeysByTheirHashes) {
  const std::vector<std::string> hashes = {HashSha256("old"),
                                           HashSha256("new")};
  CHECK(IsKeyKnown("old", hashes));
  CHECK(IsKeyKnown("new", hashes));
  CHECK_FALSE(IsKeyKnown("other", hashes));
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      HashSha256("abc").c_str());
}

}  // namespace magnoliareel
