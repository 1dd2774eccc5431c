/// @file
/// @brief Decides whether what an upstream sends continues a stream of events.
#pragma once

#include "caller/event_stream.hpp"
#include "upstream/header_list.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboochute::gateway {

/// @brief What the head of an answer says about the stream in its body.
struct StreamHead
{
    int status = 0;
    /// Type of the content in lower case, without parameters; empty when the head states none.
    std::string mediaType;
    /// Encoding of the content in lower case; empty when the head states none.
    std::string encoding;
    /// The answer carries the upstream's signature.
    bool isSigned = false;
    auto operator<=>(const StreamHead &) const = default;
};

/// @brief Reads the head of an answer.
StreamHead readStreamHead(int status, const upstream::HeaderList &headers, bool isSigned);

/// @brief What the end of an answer in order says about its stream.
enum class StreamEnd {
    /// The stream is complete.
    Complete,
    /// The answer broke off.
    Broken,
    /// The upstream says that nothing follows what another one has sent, which no other one has
    /// confirmed.
    Unconfirmed,
};

/// @brief The events that one caller gets, from one upstream or several one after another.
///
/// The first answer shows what the stream is like: its type, whether its events have ids, and how
/// these rise. An answer of another upstream, and one to a caller that takes up a stream, has to go
/// on accordingly. No defect is found in the first answer to a caller that takes nothing up.
class StreamContinuation
{
public:
    /// @param lastEventId id of the last event that the caller has; empty when the stream begins
    explicit StreamContinuation(std::string lastEventId = {});

    /// @brief Id of the last event that the caller has; empty when there is none.
    const std::string &lastEventId() const noexcept { return this->lastId; }

    /// @brief Whether another answer could go on behind the events so far.
    ///
    /// It can't if the last one has no id, or if ids did not rise.
    bool isContinuable() const noexcept { return !this->hasEventBehindLastId && this->isRising; }

    /// @brief Finds out why an answer with this head can't be the next one.
    /// @return the defect; nothing when there is none
    std::optional<std::string> findDefect(const StreamHead &head) const;

    /// @brief Begins an answer whose head has no defect.
    void beginAnswer(const StreamHead &head);

    /// @brief Which of the events read belong to the stream.
    struct Events
    {
        /// Bytes of the text up to the first event that doesn't; all if there is none.
        std::size_t length = 0;
        /// What is wrong with that one.
        std::optional<std::string> defect;
        auto operator<=>(const Events &) const = default;
    };

    /// @brief Adds events of the current answer, up to the first one that doesn't belong to the
    /// stream.
    /// @param wholeEvents text of whole events
    Events addEvents(std::string_view wholeEvents);

    /// @brief Ends the current answer, which has ended in order behind a whole event.
    /// @param isFramed whether the answer's length or last chunk says that it is whole
    StreamEnd endAnswer(bool isFramed);

private:
    std::optional<std::string> findDefect(const caller::StreamEvent &event) const;
    std::optional<std::string> findIdDefect(std::string_view id) const;
    void add(const caller::StreamEvent &event);
    void addId(std::string_view id);

    /// Head of the first answer of which the caller has a part.
    StreamHead firstHead;
    std::string firstId;
    std::string lastId;
    /// Number of events with an id.
    std::uint64_t idCount = 0;
    /// Value of the last id; unset if one of the ids is no number.
    std::optional<std::uint64_t> lastNumber;
    /// By how much ids rise; unset while that is not known.
    std::optional<std::uint64_t> step;
    bool isEvenlyRising = true;
    bool isRising = true;
    /// Whether the caller takes the stream up.
    bool isTakenUp = false;
    bool hasBegun = false;
    bool hasEventsWithoutId = false;
    bool hasEventBehindLastId = false;
    bool hasEndMarker = false;
    /// Whether the current answer goes on with a stream.
    bool isContinuation = false;
    bool isAnswerEmpty = true;
    /// Answers in a row which said that nothing follows.
    std::uint32_t emptyAnswers = 0;
};

} // namespace bamboochute::gateway
