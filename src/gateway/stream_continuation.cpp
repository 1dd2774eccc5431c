#include "gateway/stream_continuation.hpp"

#include "gateway/exchange_limits.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

using caller::StreamEvent;

constexpr std::string_view eventStreamType = "text/event-stream";
/// Bytes of an id that a reason shows.
constexpr std::size_t maxShownIdBytes = 64;

/// Reads an id that is a whole number; unset if it is something else.
std::optional<std::uint64_t> parseNumber(std::string_view id)
{
    std::uint64_t number = 0;
    const char *const end = id.data() + id.size();
    const auto [parsedEnd, error] = std::from_chars(id.data(), end, number);
    if (id.empty() || error != std::errc() || parsedEnd != end)
        return std::nullopt;
    return number;
}

/// Returns a header's value in lower case, up to its parameters.
std::string normalizeValue(std::string_view value)
{
    value = value.substr(0, value.find(';'));
    while (value.ends_with(' ') || value.ends_with('\t'))
        value.remove_suffix(1);
    std::string normalized(value);
    std::transform(normalized.begin(), normalized.end(), normalized.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return normalized;
}

} // namespace

StreamHead readStreamHead(int status, const upstream::HeaderList &headers, bool isSigned)
{
    return {status, normalizeValue(headers.find("content-type")),
            normalizeValue(headers.find("content-encoding")), isSigned};
}

StreamContinuation::StreamContinuation(std::string lastEventId)
    : lastId(std::move(lastEventId))
    , lastNumber(parseNumber(this->lastId))
    , isTakenUp(!this->lastId.empty())
{}

std::optional<std::string> StreamContinuation::findDefect(const StreamHead &head) const
{
    if (!this->hasBegun && !this->isTakenUp)
        return std::nullopt;
    if (!head.isSigned)
        return "the answer has no signature";
    if (head.status != statusOk)
        return fmt::format("an answer with status {} does not continue a stream", head.status);
    // A caller that takes a stream up doesn't tell its type.
    const bool isTypeRight = this->hasBegun
                                     ? head.mediaType == this->firstHead.mediaType
                                     : head.mediaType.empty() || head.mediaType == eventStreamType;
    if (!isTypeRight)
        return fmt::format("content of the type \"{}\" does not continue the stream",
                           head.mediaType);
    if (this->hasBegun && head.encoding != this->firstHead.encoding)
        return fmt::format("content of the encoding \"{}\" does not continue the stream",
                           head.encoding);
    return std::nullopt;
}

void StreamContinuation::beginAnswer(const StreamHead &head)
{
    if (!this->hasBegun)
        this->firstHead = head;
    this->isContinuation = this->hasBegun || this->isTakenUp;
    this->isAnswerEmpty = true;
}

StreamContinuation::Events StreamContinuation::addEvents(std::string_view wholeEvents)
{
    Events added;
    for (const StreamEvent &event : caller::splitEvents(wholeEvents)) {
        if (this->isContinuation)
            added.defect = this->findDefect(event);
        if (added.defect)
            break;
        this->add(event);
        added.length += event.text.size();
    }
    return added;
}

std::optional<std::string> StreamContinuation::findDefect(const StreamEvent &event) const
{
    if (!event.id.empty())
        return this->findIdDefect(event.id);
    if (!event.hasContent || event.isEndMarker || this->hasEventsWithoutId || this->lastId.empty())
        return std::nullopt;
    return "an event without an id in a stream whose events have ids";
}

std::optional<std::string> StreamContinuation::findIdDefect(std::string_view id) const
{
    if (this->lastId.empty())
        return std::nullopt;
    if (!this->lastNumber) {
        if (id == this->lastId || id == this->firstId)
            return fmt::format("the id \"{}\" comes again", id.substr(0, maxShownIdBytes));
        return std::nullopt;
    }
    const std::optional<std::uint64_t> number = parseNumber(id);
    if (!number)
        return fmt::format("the id \"{}\" is no number as the others are",
                           id.substr(0, maxShownIdBytes));
    if (*number <= *this->lastNumber)
        return fmt::format("the id {} is not behind {}", *number, *this->lastNumber);
    if (this->isEvenlyRising && this->step && *number - *this->lastNumber != *this->step)
        return fmt::format("events are missing between the ids {} and {}", *this->lastNumber,
                           *number);
    return std::nullopt;
}

void StreamContinuation::add(const StreamEvent &event)
{
    this->hasBegun = true;
    if (!event.id.empty())
        this->addId(event.id);
    if (!event.hasContent)
        return;
    this->isAnswerEmpty = false;
    this->emptyAnswers = 0;
    this->hasEndMarker = event.isEndMarker;
    if (event.id.empty() && !event.isEndMarker) {
        this->hasEventsWithoutId = true;
        this->hasEventBehindLastId = true;
    }
}

void StreamContinuation::addId(std::string_view id)
{
    const std::optional<std::uint64_t> number = parseNumber(id);
    const bool isFirst = this->idCount == 0;
    const bool isSecond = this->idCount == 1;
    ++this->idCount;
    if (this->lastId.empty()) {
        // Ids that begin with the first number are taken to count the events.
        if (number && *number <= 1)
            this->step = 1;
    } else if (number && this->lastNumber && *number > *this->lastNumber) {
        const std::uint64_t difference = *number - *this->lastNumber;
        // The id that the caller names is none of this answer: a distance to it proves nothing.
        if (isSecond || (isFirst && difference == 1))
            this->step = difference;
        this->isEvenlyRising = this->isEvenlyRising && (!this->step || *this->step == difference);
    } else if (id == this->lastId || id == this->firstId || (number && this->lastNumber)) {
        this->isRising = false;
    }
    this->lastNumber = this->lastId.empty() || this->lastNumber ? number : std::nullopt;
    if (isFirst)
        this->firstId = id;
    this->lastId = id;
    this->hasEventBehindLastId = false;
}

StreamEnd StreamContinuation::endAnswer(bool isFramed)
{
    if (!this->isAnswerEmpty || this->hasEndMarker)
        return StreamEnd::Complete;
    if (!this->hasBegun)
        // Only a stream that is taken up after its last event may have no further ones.
        return isFramed || this->isTakenUp ? StreamEnd::Complete : StreamEnd::Broken;
    if (!this->isContinuation)
        return StreamEnd::Complete;
    if (!isFramed)
        return StreamEnd::Broken;
    const bool isConfirmed = this->emptyAnswers > 0;
    ++this->emptyAnswers;
    return isConfirmed ? StreamEnd::Complete : StreamEnd::Unconfirmed;
}

} // namespace bamboochute::gateway
