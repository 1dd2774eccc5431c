/// @file
/// @brief The number of instances that share a budget, from announcements that may be too low.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace bamboochute::gateway {

/// @brief Keeps the largest number that was announced lately; not thread-safe.
///
/// A number is too low while the announcing instance has not heard of all others, and after a
/// partition. Shares that are too large would exceed the budget, ones that are too small only leave
/// a part of it unused.
class InstanceCount
{
public:
    /// @param memory time for which a larger number outweighs later ones
    explicit InstanceCount(Duration memory = std::chrono::seconds(10))
        : memory(memory)
    {}

    /// @brief Takes over an announced number; zero is ignored.
    void record(std::uint32_t count, TimePoint now);

    /// @brief The number to share by; unset before the first announcement.
    /// @note The last announced number is kept for as long as there is no other one.
    std::optional<std::uint32_t> value(TimePoint now) const;

private:
    Duration memory;
    /// Announcements in order of time, with falling numbers.
    std::deque<std::pair<TimePoint, std::uint32_t>> announced;
};

} // namespace bamboochute::gateway
