#ifndef MAGNOLIAREEL_TESTS_ROUND_TRIP_GENERATORS_H_
#define MAGNOLIAREEL_TESTS_ROUND_TRIP_GENERATORS_H_

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "settings/settings.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {

/** Checks a property with 1,000 generated cases and a fixed seed. RC_PARAMS,
    such as "seed=7 max_success=100000", selects others.

    @param name      printed with a counterexample
    @param property  callable that takes generated values and asserts with
                     RC_ASSERT
*/
template <class P>
void CheckProperty(const char* name, P&& property) {
  setenv("RC_PARAMS", "seed=1 max_success=1000", 0);
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  const rc::detail::TestResult result =
      rc::detail::checkTestable(std::forward<P>(property), metadata);
  if (!result.is<rc::detail::SuccessResult>()) {
    rc::detail::printResultMessage(result, std::cerr);
    FAIL(name);
  }
}

/** @returns any text, often with blanks, words of the protocol, quotes and
             bytes outside ASCII, sometimes empty or long */
inline rc::Gen<std::string> GenText() {
  const rc::Gen<std::string> piece = rc::gen::weightedOneOf<std::string>(
      {{12, rc::gen::element<std::string>(
                " ", " ", "  ", "READ", "WRITE", "AFTER", "SET", "PREPARE",
                "EXECUTE", "DEALLOC", "BEGIN", "COMMIT", "QUERY", "RUN", "OPEN",
                "ERROR", "-", "3.1207", "p1", "r_q12", "q12", "s1", "fp", "#c",
                "\"", "\\", "'", "{", "%20", "\xc5\xbeivo", "\xc3", "\xff")},
       {1, rc::gen::element<std::string>("\t", "\r", "\n", "\r\n", "\x01",
                                         "\x7f", std::string(1, '\0'))},
       {3, rc::gen::arbitrary<std::string>()},
       {1, rc::gen::just(std::string(4000, 'x'))}});
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece),
                      [](const std::vector<std::string>& pieces) {
                        std::string text;
                        for (const std::string& it : pieces) {
                          text += it;
                        }
                        return text;
                      });
}

/** @returns any text without CR, LF and NUL, which a line can hold */
inline rc::Gen<std::string> GenLineText() {
  return rc::gen::map(GenText(), [](std::string text) {
    std::erase_if(text,
                  [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
    return text;
  });
}

/** @returns any word, such as a name or an id */
inline rc::Gen<std::string> GenWord() {
  return rc::gen::map(GenText(), [](std::string text) {
    std::erase_if(text, [](char c) { return !IsWord({&c, 1}); });
    return text.empty() ? std::string("w") : text;
  });
}

/** @returns any number, often a small one or the largest */
inline rc::Gen<uint64_t> GenNumber() {
  return rc::gen::oneOf(
      rc::gen::arbitrary<uint64_t>(),
      rc::gen::element<uint64_t>(0, 1, std::numeric_limits<uint64_t>::max()));
}

/** @returns any log point */
inline rc::Gen<LogPoint> GenLogPoint() {
  return rc::gen::map(
      rc::gen::pair(GenNumber(), GenNumber()),
      [](const std::pair<uint64_t, uint64_t>& numbers) {
        return LogPoint{Term{numbers.first}, LogPosition{numbers.second}};
      });
}

/** @returns any log point, or none */
inline rc::Gen<std::optional<LogPoint>> GenOptionalLogPoint() {
  return rc::gen::oneOf(rc::gen::just(std::optional<LogPoint>()),
                        rc::gen::map(GenLogPoint(), [](const LogPoint& point) {
                          return std::optional<LogPoint>(point);
                        }));
}

/** @returns any duration that is not negative */
inline rc::Gen<Duration> GenDuration() {
  return rc::gen::map(rc::gen::arbitrary<int64_t>(), [](int64_t number) {
    return Duration(number & std::numeric_limits<int64_t>::max());
  });
}

/** @returns any IPv4 address with a port */
inline rc::Gen<SocketAddress> GenAddress() {
  return rc::gen::map(rc::gen::tuple(rc::gen::arbitrary<uint8_t>(),
                                     rc::gen::arbitrary<uint8_t>(),
                                     rc::gen::inRange<int>(1, 65536)),
                      [](const std::tuple<uint8_t, uint8_t, int>& numbers) {
                        const auto& [first, last, port] = numbers;
                        return SocketAddress{"10." + std::to_string(first) +
                                                 ".0." + std::to_string(last),
                                             static_cast<uint16_t>(port)};
                      });
}

/** @returns any identifier of a type that is a word, such as ServiceId */
template <class Id>
rc::Gen<Id> GenId() {
  return rc::gen::map(GenWord(),
                      [](std::string text) { return Id{std::move(text)}; });
}

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_ROUND_TRIP_GENERATORS_H_
