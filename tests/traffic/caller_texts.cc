#include "tests/traffic/caller_texts.h"

#include <array>
#include <string_view>
#include <utility>

#include "platform/platform.h"

namespace magnoliareel {
namespace {

// Keeps the texts apart from other choices with the same seed.
constexpr uint64_t kSeedOffset = 0x74657874;
constexpr size_t kLongTextBytes = 10 * 1024;
constexpr size_t kMaxWords = 6;

constexpr auto kNames = std::to_array<std::string_view>(
    {"s0", "s1", "s2", "READ", "WRITE", "-", "r_q12", "w_q27", "p1", "größe",
     "\"s0\"", "\xff"});

// Shapes that begin with others of the list, also behind another kind.
constexpr auto kShapes =
    std::to_array<std::string_view>({"q12",
                                     "q12 READ fp",
                                     "q12 READ fp READ q12 READ fp",
                                     "q12 WRITE fp",
                                     "q12 READ",
                                     "q12 ",
                                     " q12",
                                     "q12  READ fp",
                                     "fp",
                                     "fp READ q12",
                                     "q27",
                                     "q27 WRITE vq",
                                     "q27 blank",
                                     "qb READ tqfdiszgb",
                                     "READ",
                                     "WRITE q12",
                                     "READ q12",
                                     "AFTER 1.1 READ item1",
                                     "EXECUTE s0 item1",
                                     "-",
                                     " ",
                                     "select \"q12\" where name = 'it''s'",
                                     "größe €",
                                     "\xff\xfe q12",
                                     "q12\tREAD fp"});

constexpr auto kTexts = std::to_array<std::string_view>(
    {"", " ", "north ", " north", "north  west", "READ fp", "WRITE", "-",
     "AFTER 1.1", "EXECUTE s0", "'\"", "größe", "\xff\xfe"});

constexpr auto kWords = std::to_array<std::string_view>(
    {"q12", "fp", "READ", "WRITE", "EXECUTE", "AFTER", "-", "", "'q'", "vq"});

}  // namespace

CallerTexts::CallerTexts(uint64_t seed) : random_(seed ^ kSeedOffset) {}

std::string CallerTexts::JoinWords() {
  std::string text(kWords[Choose(kWords.size())]);
  for (size_t n = Choose(kMaxWords); n > 0; --n) {
    text.append(" ").append(kWords[Choose(kWords.size())]);
  }
  return text;
}

std::string CallerTexts::MakeName(std::string usual) {
  return IsChosen(70) ? std::move(usual)
                      : std::string(kNames[Choose(kNames.size())]);
}

std::string CallerTexts::MakeShape(std::string usual) {
  if (IsChosen(2)) {
    return JoinWords() + std::string(Choose(kLongTextBytes), 'x');
  }
  if (IsChosen(15)) {
    const std::string text = JoinWords();
    return text.empty() ? usual : text;
  }
  return IsChosen(25) ? std::move(usual)
                      : std::string(kShapes[Choose(kShapes.size())]);
}

std::string CallerTexts::MakeText(std::string usual) {
  if (Choose(200) == 0) {
    return JoinWords() + std::string(Choose(kLongTextBytes), 'x');
  }
  if (IsChosen(60)) {
    return usual;
  }
  std::string text(kTexts[Choose(kTexts.size())]);
  return IsChosen(50) ? usual + text : text;
}

std::string CallerTexts::MakeRarePadding(size_t line_bytes) {
  constexpr size_t kMaxLineBytes = platform::LineFramer::kMaxLineBytes;
  constexpr size_t kMargin = 64;
  if (Choose(2000) > 0 || line_bytes + kMargin > kMaxLineBytes) {
    return {};
  }
  return std::string(kMaxLineBytes - line_bytes - Choose(kMargin), 'x');
}

}  // namespace magnoliareel
