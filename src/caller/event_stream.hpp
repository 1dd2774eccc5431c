/// @file
/// @brief Follows a stream of server-sent events just enough to relay whole events only.
#pragma once

#include "core/error.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::caller {

/// @brief Passes on bytes up to the end of the last whole event, and knows the end marker.
class EventStream
{
public:
    /// @param maxPendingBytes longest event
    /// @param hasEventIds whether to remember the identifier of the last event
    EventStream(std::size_t maxPendingBytes, bool hasEventIds);

    /// @brief Takes bytes as they came.
    /// @param pieces of the body; not copied when they end with a whole event
    /// @return what can be passed on, valid until the next call and as long as the pieces;
    /// UpstreamOversized when an event is too long
    Result<std::span<const std::string_view>>
    extractWholeEvents(const std::vector<std::string_view> &pieces);

    /// @brief Whether the end marker has been passed on.
    bool isDone() const noexcept { return this->hasEnded; }

    /// @brief Identifier of the last event that was passed on; empty when there was none.
    const std::string &lastEventId() const noexcept { return this->eventId; }

    /// @brief Forgets the part of an event that a broken connection left.
    void discardPartialEvent() { this->pending.clear(); }

private:
    void inspect(std::string_view text);

    std::size_t maxPendingBytes;
    bool hasEventIds;
    bool hasEnded = false;
    std::string pending;
    std::string whole;
    std::string lastBytes;
    std::string eventId;
    std::vector<std::string_view> passed;
};

} // namespace bamboochute::caller
