/// @file
/// @brief Counts the requests that were read and how they ended.
#pragma once

#include "core/metrics.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace bamboochute::gateway {

/// @brief What the caller of a request that was read has got in the end.
enum class RequestEnd {
    /// An upstream's whole answer.
    Answered,
    /// This instance's own answer.
    Refused,
    /// The first part of a stream, recognisable as incomplete.
    Cut,
    /// Nothing that it has read: it closed its connection first.
    CallerGone,
    /// Less than was written: it did not read in time.
    Unread,
    /// Nothing, although it waited.
    Unanswered
};

/// @brief The end's name in logs and metric labels.
std::string_view requestEndName(RequestEnd end) noexcept;

/// @brief Counters of requests; each request that is read ends once.
class RequestEnds
{
public:
    explicit RequestEnds(Metrics &metrics);

    /// @brief Counts a request whose head was read, or whose bytes are no request.
    void recordRead() { this->readCount.add(); }

    /// @brief Counts the end of a request that recordRead() counted.
    void recordEnd(RequestEnd end) { this->endCounts[static_cast<std::size_t>(end)]->add(); }

private:
    static constexpr std::size_t endKinds = 6;

    Counter &readCount;
    std::array<Counter *, endKinds> endCounts{};
};

} // namespace bamboochute::gateway
