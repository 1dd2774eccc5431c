/// @file
/// @brief Seeded random numbers that are the same on every platform.
#pragma once

#include <cstdint>
#include <limits>
#include <string_view>

namespace bamboochute {

/// @brief SplitMix64 generator; satisfies UniformRandomBitGenerator.
class Random
{
public:
    using result_type = std::uint64_t; // NOLINT(readability-identifier-naming)

    explicit Random(std::uint64_t seed)
        : state(seed)
    {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }

    result_type operator()();

    /// @brief Uniform in [0, bound); zero when the bound is zero.
    std::uint64_t below(std::uint64_t bound);

    /// @brief Uniform in [0, 1).
    double unit();

    /// @brief True with the given probability.
    bool chance(double probability);

    /// @brief Exponentially distributed with the given mean.
    double exponential(double mean);

private:
    std::uint64_t state;
};

/// @brief 64-bit hash of a text, the same on every platform and in every run.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace bamboochute
