/// @file
/// @brief Splits a stream of server-sent events so that only whole events are relayed.
#pragma once

#include "core/error.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::caller {

/// @brief One event of a stream, or a block of comments between two of them.
struct StreamEvent
{
    /// Its lines, with the empty ones around it.
    std::string_view text;
    /// Value of its last "id" field; empty when there is none.
    std::string_view id;
    /// Whether it has more than comments and the fields "id", "event" and "retry".
    bool hasContent = false;
    /// Whether its only content is the end marker "data: [DONE]".
    bool isEndMarker = false;
    auto operator<=>(const StreamEvent &) const = default;
};

/// @brief Splits the text of whole events.
/// @return the events in order, valid as long as the text; their texts make up the whole text
std::vector<StreamEvent> splitEvents(std::string_view wholeEvents);

/// @brief Buffers partial events, and finds the end marker "data: [DONE]" and event identifiers.
class EventStream
{
public:
    /// @param maxEventBytes bound of the bytes buffered for a partial event
    /// @param tracksEventIds whether lastEventId() is kept up to date
    EventStream(std::size_t maxEventBytes, bool tracksEventIds);

    /// @brief Appends bytes of the stream and takes out all events that are whole.
    /// @param pieces of the body; copied only when they end within an event or one is buffered
    /// @return the whole events, valid until the next call and as long as the pieces;
    /// UpstreamOversized when the partial event is longer than maxEventBytes
    Result<std::span<const std::string_view>>
    extractWholeEvents(const std::vector<std::string_view> &pieces);

    /// @brief Whether the whole events so far end with the end marker.
    bool isDone() const noexcept { return this->hasEndMarker; }

    /// @brief Identifier of the last whole event that had one; empty when there was none.
    const std::string &lastEventId() const noexcept { return this->eventId; }

    /// @brief Bytes of the event that is not complete yet.
    std::size_t partialEventBytes() const noexcept { return this->partialEvent.size(); }

    /// @brief Whether the stream has begun an event that is not complete yet.
    ///
    /// Line ends behind the last event are no part of another one.
    bool isInsideEvent() const noexcept
    {
        return this->partialEvent.find_first_not_of("\r\n") != std::string::npos;
    }

    /// @brief Memory of the buffers, in bytes.
    std::size_t heldBytes() const noexcept
    {
        return this->partialEvent.capacity() + this->wholeEvents.capacity();
    }

    /// @brief Frees what long events took, once they have been sent on; what
    /// extractWholeEvents() has returned is no longer valid.
    void releaseSentEvents();

    /// @brief Discards the partial event that a broken connection left behind.
    void discardPartialEvent();

private:
    void scanForwarded(std::string_view text);

    std::size_t maxEventBytes;
    bool tracksEventIds;
    bool hasEndMarker = false;
    std::string partialEvent;
    std::string wholeEvents;
    std::string lastBytes;
    std::string eventId;
    std::vector<std::string_view> forwarded;
};

} // namespace bamboochute::caller
