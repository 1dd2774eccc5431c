#include "caller/event_stream.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bamboochute;
using caller::EventStream;

namespace {

std::string forwardedText(EventStream &events, const std::vector<std::string_view> &pieces)
{
    std::string text;
    const auto whole = events.extractWholeEvents(pieces);
    for (const std::string_view piece : whole.value())
        text += piece;
    return text;
}

} // namespace

TEST_CASE("only whole events of a stream are passed on")
{
    EventStream events(64, true);

    SUBCASE("a whole event is passed on at once")
    {
        CHECK(forwardedText(events, {"id: 1\ndata: a\n\n"}) == "id: 1\ndata: a\n\n");
        CHECK(events.lastEventId() == "1");
        CHECK_FALSE(events.isDone());
    }

    SUBCASE("a partial event is held back until its rest arrives")
    {
        CHECK(forwardedText(events, {"data: a\n\nid: 2\nda"}) == "data: a\n\n");
        CHECK(events.lastEventId().empty());
        CHECK(forwardedText(events, {"ta: b\n", "\ndata: c"}) == "id: 2\ndata: b\n\n");
        CHECK(events.lastEventId() == "2");
    }

    SUBCASE("a partial event is discarded after the connection broke")
    {
        CHECK(forwardedText(events, {"id: 1\ndata: a\n\nid: 2\ndata"}) == "id: 1\ndata: a\n\n");
        events.discardPartialEvent();
        CHECK(forwardedText(events, {"id: 2\ndata: b\n\n"}) == "id: 2\ndata: b\n\n");
    }

    SUBCASE("the end marker is found when it arrives in several pieces")
    {
        forwardedText(events, {"data: a\n\ndata: [DO"});
        CHECK_FALSE(events.isDone());
        forwardedText(events, {"NE]\n"});
        CHECK_FALSE(events.isDone());
        CHECK(forwardedText(events, {"\n"}) == "data: [DONE]\n\n");
        CHECK(events.isDone());
    }

    SUBCASE("an event longer than the limit is an error")
    {
        const std::string endless(65, 'x');
        const auto result = events.extractWholeEvents({endless});
        REQUIRE_FALSE(result);
        CHECK(result.error().kind() == ErrorKind::UpstreamOversized);
    }
}

TEST_CASE("the text passed on does not depend on where the stream is cut into pieces")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: [DONE]\n\n";
    const bool holds = rc::check("every division into pieces gives the same text", [&] {
        EventStream events(256, true);
        std::string result;
        std::size_t position = 0;
        while (position < text.size()) {
            const auto length = *rc::gen::inRange<std::size_t>(1, 20);
            result += forwardedText(events, {std::string_view(text).substr(position, length)});
            position += length;
        }
        RC_ASSERT(result == text);
        RC_ASSERT(events.isDone());
        RC_ASSERT(events.lastEventId() == "3");
    });
    CHECK(holds);
}

TEST_CASE("whole events are split into their fields")
{
    const std::string text = "\r\nid:  1 \r\ndata: a\r\n\r\n: comment\n\n\nevent: ping\nid\n\n"
                             "data:[DONE]\n\ndata: [DONE]\ndata: b\n\n";
    const std::vector<caller::StreamEvent> events = caller::splitEvents(text);
    REQUIRE(events.size() == 5);
    CHECK(events[0] == caller::StreamEvent{"\r\nid:  1 \r\ndata: a\r\n\r\n", "1", true, false});
    CHECK(events[1] == caller::StreamEvent{": comment\n\n", "", false, false});
    CHECK(events[2] == caller::StreamEvent{"\nevent: ping\nid\n\n", "", false, false});
    CHECK(events[3] == caller::StreamEvent{"data:[DONE]\n\n", "", true, true});
    CHECK(events[4] == caller::StreamEvent{"data: [DONE]\ndata: b\n\n", "", true, false});
    CHECK(caller::splitEvents("").empty());
}
