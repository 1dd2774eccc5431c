#include "core/random.hpp"

#include <cmath>

namespace bamboochute {

namespace {

/// Output function of SplitMix64: spreads each input bit over the result.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

Random::result_type Random::operator()()
{
    this->state += 0x9e3779b97f4a7c15ULL;
    return mix(this->state);
}

std::uint64_t Random::below(std::uint64_t bound)
{
    return bound == 0 ? 0 : (*this)() % bound;
}

double Random::unit()
{
    return static_cast<double>((*this)() >> 11) * 0x1.0p-53;
}

bool Random::chance(double probability)
{
    return this->unit() < probability;
}

double Random::exponential(double mean)
{
    return -mean * std::log1p(-this->unit());
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    // FNV-1a, with the result mixed once more.
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ mix(seed);
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return mix(hash);
}

} // namespace bamboochute
