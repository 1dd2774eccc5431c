/// @file
/// @brief Remembers which requests were answered in full lately, in bounded memory.
#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace bamboochute::gateway {

/// @brief Counts complete answers by the hash of their request; the oldest are forgotten first. Not
/// thread-safe.
class RecentCompletions
{
public:
    /// @brief Counts a complete answer.
    /// @param maxCount complete answers that are remembered
    void record(std::uint64_t hash, std::size_t maxCount, TimePoint now);

    /// @brief Number of remembered complete answers.
    std::uint32_t count(std::uint64_t hash) const;

    /// @brief Forgets the complete answers before a point in time.
    void expire(TimePoint oldest);

private:
    void forgetOldest();

    std::deque<std::pair<TimePoint, std::uint64_t>> times;
    std::unordered_map<std::uint64_t, std::uint32_t> counts;
};

} // namespace bamboochute::gateway
