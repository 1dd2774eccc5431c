#include "caller/event_stream.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bamboochute;
using caller::EventStream;

namespace {

std::string passed(EventStream &events, const std::vector<std::string_view> &pieces)
{
    std::string text;
    const auto whole = events.extractWholeEvents(pieces);
    for (const std::string_view piece : whole.value())
        text += piece;
    return text;
}

} // namespace

TEST_CASE("a stream of events is passed on by whole events")
{
    EventStream events(64, true);

    SUBCASE("a whole event goes on at once")
    {
        CHECK(passed(events, {"id: 1\ndata: a\n\n"}) == "id: 1\ndata: a\n\n");
        CHECK(events.lastEventId() == "1");
        CHECK_FALSE(events.isDone());
    }

    SUBCASE("half an event waits for its other half")
    {
        CHECK(passed(events, {"data: a\n\nid: 2\nda"}) == "data: a\n\n");
        CHECK(events.lastEventId().empty());
        CHECK(passed(events, {"ta: b\n", "\ndata: c"}) == "id: 2\ndata: b\n\n");
        CHECK(events.lastEventId() == "2");
    }

    SUBCASE("what a broken connection left of an event is dropped")
    {
        CHECK(passed(events, {"id: 1\ndata: a\n\nid: 2\ndata"}) == "id: 1\ndata: a\n\n");
        events.discardPartialEvent();
        CHECK(passed(events, {"id: 2\ndata: b\n\n"}) == "id: 2\ndata: b\n\n");
    }

    SUBCASE("the end marker is seen however it is cut")
    {
        passed(events, {"data: a\n\ndata: [DO"});
        CHECK_FALSE(events.isDone());
        passed(events, {"NE]\n"});
        CHECK_FALSE(events.isDone());
        CHECK(passed(events, {"\n"}) == "data: [DONE]\n\n");
        CHECK(events.isDone());
    }

    SUBCASE("an event without an end is refused")
    {
        const std::string endless(65, 'x');
        const auto result = events.extractWholeEvents({endless});
        REQUIRE_FALSE(result);
        CHECK(result.error().kind() == ErrorKind::UpstreamOversized);
    }
}

TEST_CASE("cutting a stream anywhere changes nothing of what is passed on")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: [DONE]\n\n";
    const bool holds = rc::check("every cut gives the same text", [&] {
        EventStream events(256, true);
        std::string result;
        std::size_t place = 0;
        while (place < text.size()) {
            const auto length = *rc::gen::inRange<std::size_t>(1, 20);
            result += passed(events, {std::string_view(text).substr(place, length)});
            place += length;
        }
        RC_ASSERT(result == text);
        RC_ASSERT(events.isDone());
        RC_ASSERT(events.lastEventId() == "3");
    });
    CHECK(holds);
}
