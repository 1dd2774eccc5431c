#include "caller/event_stream.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

constexpr std::string_view endMarker = "data: [DONE]";
constexpr std::string_view shortEndMarker = "data:[DONE]";
constexpr std::string_view idField = "id:";
/// Bytes at the end of the stream that the end marker with its line ends fits into.
constexpr std::size_t keptBytes = 32;

bool endsEvent(std::string_view text)
{
    return text.ends_with("\n\n") || text.ends_with("\n\r\n");
}

/// Length of the part that ends with a whole event.
std::size_t wholeLength(std::string_view text)
{
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t carriage = text.rfind("\n\r\n");
    const std::size_t plainEnd = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t carriageEnd = carriage == std::string_view::npos ? 0 : carriage + 3;
    return std::max(plainEnd, carriageEnd);
}

} // namespace

EventStream::EventStream(std::size_t maxPendingBytes, bool hasEventIds)
    : maxPendingBytes(maxPendingBytes)
    , hasEventIds(hasEventIds)
{}

Result<std::span<const std::string_view>>
EventStream::extractWholeEvents(const std::vector<std::string_view> &pieces)
{
    this->passed.clear();
    if (this->pending.empty() && !pieces.empty() && endsEvent(pieces.back())) {
        this->passed.assign(pieces.begin(), pieces.end());
    } else {
        for (const std::string_view piece : pieces)
            this->pending += piece;
        const std::size_t length = wholeLength(this->pending);
        this->whole.assign(this->pending, 0, length);
        this->pending.erase(0, length);
        if (this->pending.size() > this->maxPendingBytes)
            return Error(ErrorKind::UpstreamOversized,
                         fmt::format("an event is longer than {} bytes", this->maxPendingBytes));
        if (!this->whole.empty())
            this->passed.emplace_back(this->whole);
    }
    for (const std::string_view text : this->passed)
        this->inspect(text);
    return std::span<const std::string_view>(this->passed);
}

void EventStream::inspect(std::string_view text)
{
    const std::string_view tail = text.substr(text.size() - std::min(text.size(), keptBytes));
    if (tail.size() < keptBytes && this->lastBytes.size() + tail.size() > keptBytes)
        this->lastBytes.erase(0, this->lastBytes.size() + tail.size() - keptBytes);
    else if (tail.size() == keptBytes)
        this->lastBytes.clear();
    this->lastBytes += tail;
    const std::size_t last = this->lastBytes.find_last_not_of("\r\n");
    const std::string_view line = std::string_view(this->lastBytes).substr(0, last + 1);
    this->hasEnded = line.ends_with(endMarker) || line.ends_with(shortEndMarker);
    if (!this->hasEventIds)
        return;
    std::size_t place = text.rfind(idField);
    while (place != std::string_view::npos && place > 0 && text[place - 1] != '\n')
        place = text.rfind(idField, place - 1);
    if (place == std::string_view::npos)
        return;
    const std::size_t begin = text.find_first_not_of(' ', place + idField.size());
    const std::size_t end = text.find_first_of("\r\n", begin);
    if (begin != std::string_view::npos && end != std::string_view::npos)
        this->eventId.assign(text.substr(begin, end - begin));
}

} // namespace bamboochute::caller
