#ifndef MAGNOLIAREEL_CORE_RANDOM_RANDOM_SOURCE_H_
#define MAGNOLIAREEL_CORE_RANDOM_RANDOM_SOURCE_H_

#include <concepts>
#include <cstdint>
#include <random>

namespace magnoliareel {

/** A random number generator of the standard library's form, so that tests can
    pass a generator with a fixed seed. */
template <class T>
concept RandomSource = std::uniform_random_bit_generator<T>;

/** The random number generator that the processes use. */
using ProcessRandom = std::mt19937_64;

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CORE_RANDOM_RANDOM_SOURCE_H_
