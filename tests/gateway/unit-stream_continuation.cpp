#include "gateway/stream_continuation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fmt/format.h>

using namespace bamboochute;
using gateway::StreamContinuation;
using gateway::StreamEnd;
using gateway::StreamHead;

namespace {

const StreamHead soundHead{200, "text/event-stream", "", true};

std::string event(const std::string &id)
{
    return "id: " + id + "\ndata: piece\n\n";
}

std::string events(const std::vector<std::string> &ids)
{
    std::string text;
    for (const std::string &id : ids)
        text += event(id);
    return text;
}

/// A stream that has broken after these events, and whose next answer has begun.
StreamContinuation brokenAfter(const std::string &text, const std::string &lastEventId = {})
{
    StreamContinuation stream(lastEventId);
    stream.beginAnswer(soundHead);
    REQUIRE_FALSE(stream.addEvents(text).defect);
    REQUIRE_FALSE(stream.findDefect(soundHead));
    stream.beginAnswer(soundHead);
    return stream;
}

/// Whether an answer with these events goes on behind them.
bool goesOn(StreamContinuation stream, const std::string &text)
{
    const StreamContinuation::Events added = stream.addEvents(text);
    CHECK((added.length == text.size()) == !added.defect);
    return !added.defect;
}

} // namespace

TEST_CASE("the events of a stream's continuation have to follow its last one")
{
    SUBCASE("ids that count the events have none missing, and none twice")
    {
        const StreamContinuation stream = brokenAfter(events({"1", "2", "3"}));
        CHECK(stream.lastEventId() == "3");
        CHECK(goesOn(stream, events({"4", "5"})));
        CHECK_FALSE(goesOn(stream, events({"1", "2", "3", "4"})));
        CHECK_FALSE(goesOn(stream, events({"3", "4"})));
        CHECK_FALSE(goesOn(stream, events({"5", "6"})));
        CHECK_FALSE(goesOn(stream, events({"4", "6"})));
        CHECK_FALSE(goesOn(stream, events({"4", "4"})));
        CHECK_FALSE(goesOn(stream, event("x")));
        CHECK_FALSE(goesOn(stream, event("18446744073709551616")));
        CHECK_FALSE(goesOn(stream, "data: piece\n\n"));
        CHECK_FALSE(goesOn(stream, "<html>\n\n"));
    }
    SUBCASE("also behind a first event, whose id is that of a first one")
    {
        CHECK(goesOn(brokenAfter(event("1")), event("2")));
        CHECK_FALSE(goesOn(brokenAfter(event("1")), event("3")));
        CHECK_FALSE(goesOn(brokenAfter(event("0")), event("2")));
        CHECK(goesOn(brokenAfter(event("70")), event("75")));
        CHECK_FALSE(goesOn(brokenAfter(event("70")), event("1")));
    }
    SUBCASE("ids that rise by another number keep to it")
    {
        CHECK(goesOn(brokenAfter(events({"10", "20", "30"})), event("40")));
        CHECK_FALSE(goesOn(brokenAfter(events({"10", "20", "30"})), event("50")));
        CHECK_FALSE(goesOn(brokenAfter(events({"10", "20", "30"})), event("31")));
    }
    SUBCASE("ids that rise unevenly only have to rise")
    {
        const StreamContinuation stream = brokenAfter(events({"1", "4", "5"}));
        CHECK(goesOn(stream, events({"9", "11"})));
        CHECK_FALSE(goesOn(stream, event("5")));
        CHECK_FALSE(goesOn(stream, event("2")));
    }
    SUBCASE("ids that are no numbers must not come again")
    {
        const StreamContinuation stream = brokenAfter(events({"a", "c", "b"}));
        CHECK(goesOn(stream, events({"7", "d"})));
        CHECK_FALSE(goesOn(stream, event("a")));
        CHECK_FALSE(goesOn(stream, event("b")));
    }
    SUBCASE("the events before a defect belong to the stream, and it goes on behind them")
    {
        StreamContinuation stream = brokenAfter(event("1"));
        const StreamContinuation::Events added = stream.addEvents(events({"2", "3", "7", "8"}));
        CHECK(added.defect.has_value());
        CHECK(added.length == events({"2", "3"}).size());
        CHECK(stream.lastEventId() == "3");
        stream.beginAnswer(soundHead);
        CHECK(goesOn(stream, event("4")));
    }
    SUBCASE("comments and the end marker need no id, and a first line may precede it")
    {
        const StreamContinuation stream = brokenAfter(event("1"));
        CHECK(goesOn(stream, ": still there\n\nretry: 100\n\nversion: 3\nid:2\ndata: b\n\n"
                             "data: [DONE]\n\n"));
        CHECK(goesOn(stream, "\r\n: still there\r\n\r\nid: 2\r\ndata: b\r\n\r\n"));
    }
    SUBCASE("events without an id may follow if the stream had some")
    {
        CHECK(goesOn(brokenAfter("data: a\n\n" + event("1")), "data: b\n\n" + event("2")));
    }
    SUBCASE("an upstream that goes on after its silence is held to the same")
    {
        StreamContinuation stream = brokenAfter(event("1"));
        CHECK_FALSE(stream.addEvents(event("2")).defect);
        CHECK(stream.addEvents(event("2")).defect);
    }
}

TEST_CASE("a stream can be continued only if its last event names the place")
{
    StreamContinuation stream;
    stream.beginAnswer(soundHead);
    CHECK(stream.isContinuable());
    SUBCASE("not without ids")
    {
        stream.addEvents("data: a\n\n");
        CHECK_FALSE(stream.isContinuable());
    }
    SUBCASE("not behind an event without an id")
    {
        stream.addEvents(event("1") + "data: a\n\n");
        CHECK_FALSE(stream.isContinuable());
        stream.addEvents(event("2"));
        CHECK(stream.isContinuable());
    }
    SUBCASE("not if ids came again or fell, which is no defect of a first answer")
    {
        CHECK_FALSE(stream.addEvents(events({"2", "1"})).defect);
        CHECK_FALSE(stream.isContinuable());
    }
    SUBCASE("behind comments it begins again")
    {
        stream.addEvents(": soon\n\n");
        CHECK(stream.isContinuable());
        CHECK(stream.lastEventId().empty());
        stream.beginAnswer(soundHead);
        CHECK(goesOn(stream, event("1")));
    }
    SUBCASE("behind its end marker")
    {
        stream.addEvents(event("1") + "data: [DONE]\n\n");
        CHECK(stream.isContinuable());
    }
}

TEST_CASE("the head of a continuation fits to the first answer")
{
    const StreamContinuation stream = brokenAfter(event("1"));
    CHECK_FALSE(stream.findDefect(soundHead));
    StreamHead head = soundHead;
    SUBCASE("its status")
    {
        head.status = 206;
    }
    SUBCASE("its type")
    {
        head.mediaType = "text/html";
    }
    SUBCASE("a type at all")
    {
        head.mediaType = "";
    }
    SUBCASE("its encoding")
    {
        head.encoding = "gzip";
    }
    SUBCASE("a signature")
    {
        head.isSigned = false;
    }
    CHECK(stream.findDefect(head));

    // What begins a stream is not judged, and what an attempt without events said doesn't count.
    StreamContinuation begins;
    CHECK_FALSE(begins.findDefect(head));
    begins.beginAnswer({200, "text/plain", "", true});
    CHECK_FALSE(begins.findDefect(soundHead));
}

TEST_CASE("the type of a head is read without regard to case and parameters")
{
    upstream::HeaderList headers;
    headers.add("Content-Type", "Text/Event-Stream ; charset=utf-8");
    CHECK(gateway::readStreamHead(200, headers, true) == soundHead);
}

TEST_CASE("a caller takes a stream up")
{
    StreamContinuation stream("5");
    CHECK(stream.lastEventId() == "5");
    SUBCASE("with an answer that is a stream")
    {
        CHECK_FALSE(stream.findDefect(soundHead));
        CHECK_FALSE(stream.findDefect({200, "", "", true}));
        CHECK(stream.findDefect({200, "text/html", "", true}));
    }
    stream.beginAnswer(soundHead);
    SUBCASE("behind the event that it names, whatever the distance")
    {
        CHECK(goesOn(stream, events({"6", "7"})));
        CHECK(goesOn(stream, events({"8", "9"})));
        CHECK_FALSE(goesOn(stream, event("5")));
        CHECK_FALSE(goesOn(stream, event("1")));
        CHECK_FALSE(goesOn(stream, "data: piece\n\n"));
        CHECK_FALSE(goesOn(stream, event("x")));
    }
    SUBCASE("from where no event is missing, as far as the answer tells")
    {
        CHECK_FALSE(goesOn(stream, events({"6", "8"})));
        CHECK_FALSE(goesOn(stream, events({"8", "9", "11"})));
        CHECK_FALSE(goesOn(stream, events({"6", "7", "9"})));
        CHECK(goesOn(stream, events({"8", "10", "12"})));
    }
    SUBCASE("behind its last event, with an answer without events")
    {
        CHECK(stream.endAnswer(true) == StreamEnd::Complete);
    }
    SUBCASE("whose id is no number")
    {
        StreamContinuation named("e5");
        named.beginAnswer(soundHead);
        CHECK(goesOn(named, event("e6")));
        CHECK_FALSE(goesOn(named, event("e5")));
    }
}

TEST_CASE("the end of an answer in order is that of the stream if something shows it")
{
    SUBCASE("events came before it")
    {
        StreamContinuation stream = brokenAfter(event("1"));
        stream.addEvents(event("2"));
        CHECK(stream.endAnswer(true) == StreamEnd::Complete);
    }
    SUBCASE("an end marker was seen before the break")
    {
        StreamContinuation stream = brokenAfter(event("1") + "data: [DONE]\n\n");
        CHECK(stream.endAnswer(true) == StreamEnd::Complete);
    }
    SUBCASE("without an event of a continuation, a second one has to confirm it")
    {
        StreamContinuation stream = brokenAfter(event("1"));
        CHECK(stream.endAnswer(true) == StreamEnd::Unconfirmed);
        stream.beginAnswer(soundHead);
        SUBCASE("which it does without events")
        {
            CHECK(stream.endAnswer(true) == StreamEnd::Complete);
        }
        SUBCASE("which it does not without a length: its connection may have broken")
        {
            CHECK(stream.endAnswer(false) == StreamEnd::Broken);
        }
        SUBCASE("and which it refutes with an event")
        {
            stream.addEvents(event("2"));
            stream.beginAnswer(soundHead);
            CHECK(stream.endAnswer(true) == StreamEnd::Unconfirmed);
        }
    }
    SUBCASE("a stream may have no events, if a length says so")
    {
        StreamContinuation stream;
        stream.beginAnswer(soundHead);
        CHECK(stream.endAnswer(true) == StreamEnd::Complete);
        CHECK(stream.endAnswer(false) == StreamEnd::Broken);
    }
}

TEST_CASE("a stream that is cut anywhere is continued by its rest and by nothing else")
{
    const bool isHeld = rc::check([] {
        const auto first = *rc::gen::inRange<std::uint64_t>(0, 1000);
        const auto step = *rc::gen::inRange<std::uint64_t>(1, 4);
        const auto count = *rc::gen::inRange<std::uint64_t>(3, 12);
        const auto cut = *rc::gen::inRange<std::uint64_t>(2, count);
        const auto begin = *rc::gen::inRange<std::uint64_t>(0, count);
        const auto idAt = [&](std::uint64_t i) { return std::to_string(first + i * step); };
        std::string shown;
        for (std::uint64_t i = 0; i < cut; ++i)
            shown += event(idAt(i));
        std::string rest;
        for (std::uint64_t i = begin; i < count; ++i)
            rest += event(idAt(i));
        StreamContinuation stream = brokenAfter(shown);
        RC_ASSERT(stream.addEvents(rest).defect.has_value() == (begin != cut));
    });
    CHECK(isHeld);
}
