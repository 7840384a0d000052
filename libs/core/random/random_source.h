#ifndef MAGNOLIAREEL_CORE_RANDOM_RANDOM_SOURCE_H_
#define MAGNOLIAREEL_CORE_RANDOM_RANDOM_SOURCE_H_

#include <concepts>
#include <cstdint>
#include <random>

namespace magnoliareel {

/** A source of random numbers, as in the standard library; seeded in tests.
 */
template <class T>
concept RandomSource = std::uniform_random_bit_generator<T>;

/** The random source of the product's processes. */
using ProcessRandom = std::mt19937_64;

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_RANDOM_RANDOM_SOURCE_H_
