#include "caller/event_stream.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

constexpr std::string_view endMarker = "data: [DONE]";
constexpr std::string_view shortEndMarker = "data:[DONE]";
constexpr std::string_view idField = "id:";
/// Bytes kept of the end of the stream; the end marker and its line ends fit into them.
constexpr std::size_t maxEndMarkerBytes = 32;
/// Memory of sent events that a buffer keeps for the next ones.
constexpr std::size_t maxKeptBytes = 4 << 10;

/// Empties a buffer; one that has grown long is freed.
void emptyBuffer(std::string &buffer)
{
    buffer.clear();
    if (buffer.capacity() > maxKeptBytes)
        std::string().swap(buffer);
}

bool endsEvent(std::string_view text)
{
    return text.ends_with("\n\n") || text.ends_with("\n\r\n");
}

/// Length of the text up to the end of its last whole event.
std::size_t wholeLength(std::string_view text)
{
    const std::size_t lineFeed = text.rfind("\n\n");
    const std::size_t crlf = text.rfind("\n\r\n");
    const std::size_t lineFeedEnd = lineFeed == std::string_view::npos ? 0 : lineFeed + 2;
    const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 3;
    return std::max(lineFeedEnd, crlfEnd);
}

std::string_view trimSpaces(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(' ') - begin + 1);
}

/// Adds a line without its end to an event.
void addLine(StreamEvent &event, std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    if (field == "id")
        event.id = colon == std::string_view::npos ? std::string_view()
                                                   : trimSpaces(line.substr(colon + 1));
    const bool isContent = colon != 0 && field != "id" && field != "event" && field != "retry";
    if (!isContent)
        return;
    event.isEndMarker = !event.hasContent && (line == endMarker || line == shortEndMarker);
    event.hasContent = true;
}

} // namespace

std::vector<StreamEvent> splitEvents(std::string_view wholeEvents)
{
    std::vector<StreamEvent> events;
    StreamEvent event;
    bool hasLines = false;
    std::size_t begin = 0;
    std::size_t position = 0;
    while (position < wholeEvents.size()) {
        const std::size_t lineFeed = wholeEvents.find('\n', position);
        const std::size_t next
                = lineFeed == std::string_view::npos ? wholeEvents.size() : lineFeed + 1;
        std::string_view line = wholeEvents.substr(position, std::min(lineFeed, next) - position);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        position = next;
        if (!line.empty()) {
            addLine(event, line);
            hasLines = true;
        }
        const bool isEnd = line.empty() && hasLines;
        if (!isEnd && position < wholeEvents.size())
            continue;
        event.text = wholeEvents.substr(begin, position - begin);
        events.push_back(event);
        event = StreamEvent();
        hasLines = false;
        begin = position;
    }
    return events;
}

EventStream::EventStream(std::size_t maxEventBytes, bool tracksEventIds)
    : maxEventBytes(maxEventBytes)
    , tracksEventIds(tracksEventIds)
{}

Result<std::span<const std::string_view>>
EventStream::extractWholeEvents(const std::vector<std::string_view> &pieces)
{
    this->forwarded.clear();
    if (this->partialEvent.empty() && !pieces.empty() && endsEvent(pieces.back())) {
        this->forwarded.assign(pieces.begin(), pieces.end());
    } else {
        for (const std::string_view piece : pieces)
            this->partialEvent += piece;
        const std::size_t length = wholeLength(this->partialEvent);
        if (length == this->partialEvent.size()) {
            this->wholeEvents.swap(this->partialEvent);
            this->partialEvent.clear();
        } else {
            this->wholeEvents.assign(this->partialEvent, 0, length);
            this->partialEvent.erase(0, length);
        }
        if (this->partialEvent.size() > this->maxEventBytes)
            return Error(ErrorKind::UpstreamOversized,
                         fmt::format("an event is longer than {} bytes", this->maxEventBytes));
        if (!this->wholeEvents.empty())
            this->forwarded.emplace_back(this->wholeEvents);
    }
    for (const std::string_view text : this->forwarded)
        this->scanForwarded(text);
    return std::span<const std::string_view>(this->forwarded);
}

void EventStream::releaseSentEvents()
{
    this->forwarded.clear();
    emptyBuffer(this->wholeEvents);
    if (this->partialEvent.empty())
        emptyBuffer(this->partialEvent);
}

void EventStream::discardPartialEvent()
{
    emptyBuffer(this->partialEvent);
}

void EventStream::scanForwarded(std::string_view text)
{
    const std::string_view tail
            = text.substr(text.size() - std::min(text.size(), maxEndMarkerBytes));
    if (tail.size() < maxEndMarkerBytes && this->lastBytes.size() + tail.size() > maxEndMarkerBytes)
        this->lastBytes.erase(0, this->lastBytes.size() + tail.size() - maxEndMarkerBytes);
    else if (tail.size() == maxEndMarkerBytes)
        this->lastBytes.clear();
    this->lastBytes += tail;
    const std::size_t last = this->lastBytes.find_last_not_of("\r\n");
    const std::string_view line = std::string_view(this->lastBytes).substr(0, last + 1);
    this->hasEndMarker = line.ends_with(endMarker) || line.ends_with(shortEndMarker);
    if (!this->tracksEventIds)
        return;
    std::size_t position = text.rfind(idField);
    while (position != std::string_view::npos && position > 0 && text[position - 1] != '\n')
        position = text.rfind(idField, position - 1);
    if (position == std::string_view::npos)
        return;
    const std::size_t begin = text.find_first_not_of(' ', position + idField.size());
    const std::size_t end = text.find_first_of("\r\n", begin);
    if (begin != std::string_view::npos && end != std::string_view::npos)
        this->eventId.assign(text.substr(begin, end - begin));
}

} // namespace bamboochute::caller
