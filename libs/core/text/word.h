#ifndef MAGNOLIAREEL_CORE_TEXT_WORD_H_
#define MAGNOLIAREEL_CORE_TEXT_WORD_H_

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <string_view>

namespace magnoliareel {

/** @param text  any text
    @returns     true if it is not empty and has no blanks and control
                 characters, which end a field or a line of the protocols
*/
constexpr bool IsWord(std::string_view text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte <= ' ' || byte == 0x7f;
  });
}

/** View of a text for which IsWord() holds. Lines, rows and datagrams whose
    fields are separated by blanks take it in every field but the last, so that
    an unchecked text in such a field does not compile.

    @see JoinFields, TakeWord
*/
class Word {
 public:
  /** @param text  a text that was checked when it was received; any other is a
                   programming error */
  explicit constexpr Word(std::string_view text) : text_(text) {
    assert(IsWord(text));
  }
  /** @param literal  a text of the program; one that is not a word does not
                      compile */
  template <size_t kSize>
  // NOLINTNEXTLINE(google-explicit-constructor): checked by the compiler.
  consteval Word(const char (&literal)[kSize])
      : Word(std::string_view(literal, kSize - 1)) {}

  /** @returns the text */
  constexpr std::string_view GetText() const { return text_; }

 private:
  std::string_view text_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_TEXT_WORD_H_
