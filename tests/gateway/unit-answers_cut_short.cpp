#include "relay_fixture.hpp"

#include "forwarding/forwarded_request.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace bamboochute;
using namespace bamboochute::test;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";
const std::string lastChunk = "0\r\n\r\n";

/// An answer that its upstream has not sent to its end.
struct CutAnswer
{
    std::string name;
    std::string text;
};

std::string beginHead()
{
    return fmt::format("HTTP/1.1 200 OK\r\ntest-id: {{id}}\r\ntest-signature: s\r\n{}: v1\r\n",
                       forwarding::streamVersionHeader);
}

/// Answers that end within their head or in front of it.
std::vector<CutAnswer> cutHeads()
{
    const std::string head = beginHead();
    const std::string informational = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    return {{"before the status line", ""},
            {"within the version", "HTTP/1."},
            {"within the status", "HTTP/1.1 2"},
            {"behind the status", "HTTP/1.1 200"},
            {"behind the status line", "HTTP/1.1 200 OK\r\n"},
            {"within a header's name", head + "Content-Le"},
            {"behind a header's name", head + "Content-Length:"},
            {"behind the first digit of a length", head + "Content-Length: 1"},
            {"before the line's end", head + "Content-Length: 15"},
            {"within the line's end", head + "Content-Length: 15\r"},
            {"before the empty line", head + "Content-Length: 15\r\n"},
            {"within the empty line", head + "Content-Length: 15\r\n\r"},
            {"before the empty line of chunks", head + "Transfer-Encoding: chunked\r\n"},
            {"before the empty line, without a length", head},
            {"behind an informational head", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"within a second informational head", informational + "HTTP/1.1 1"},
            {"within the head behind an informational one", informational + head}};
}

/// Answers that end behind their head. Each has a whole event and belongs to a longer body.
std::vector<CutAnswer> cutBodies(const std::string &text)
{
    const std::string chunked = beginHead() + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string first = chunked + chunk(text);
    const std::string longer = fmt::format("Content-Length: {}\r\n\r\n", text.size() + 1);
    return {{"before the end of the length", beginHead() + longer + text},
            {"before the end of a chunk",
             chunked + fmt::format("{:x}\r\n", text.size() + 9) + text},
            {"behind the data of a chunk", first.substr(0, first.size() - 2)},
            {"within the end of a chunk", first.substr(0, first.size() - 1)},
            {"behind a chunk", first},
            {"behind the first digit of a size", first + "1"},
            {"behind a size", first + "1f\r\n"},
            {"behind the size of the last chunk", first + "0"},
            {"before the trailer", first + "0\r\n"},
            {"within the name of a trailer", first + "0\r\nCheck"},
            {"within the value of a trailer", first + "0\r\nChecksum: 1"},
            {"behind a trailer", first + "0\r\nChecksum: 12\r\n"}};
}

/// Upstreams that refuse every connection, as behind a cut, and an instance with no others.
struct CutInstance
{
    RefusingUpstream first;
    RefusingUpstream second;
    RefusingUpstream third;
    RelayFixture instance{{&this->first, &this->second, &this->third}};
};

/// Gets an answer from an upstream directly, through another instance, and from another instance
/// that sends the same.
std::vector<std::string> getAnswers(const std::string &path, const Script &script)
{
    std::vector<std::string> answers;
    {
        ScriptedUpstream upstream({script});
        RelayFixture fixture({&upstream});
        answers.push_back(fixture.call(request(path)));
        CHECK(upstream.requests().size() == 1);
    }
    {
        CutInstance behindCut;
        ScriptedUpstream upstream({script});
        RelayFixture helper({&upstream});
        behindCut.instance.offerHelp({helper.instanceEndpoint()});
        answers.push_back(behindCut.instance.call(request(path)));
        CHECK(upstream.requests().size() == 1);
    }
    CutInstance behindCut;
    ScriptedUpstream helper({script});
    behindCut.instance.offerHelp({helper.endpoint()});
    answers.push_back(behindCut.instance.call(request(path)));
    CHECK(helper.requests().size() == 1);
    return answers;
}

/// Gets a stream whose first upstream breaks behind its first event.
std::string getContinued(const Script &script)
{
    ScriptedUpstream breaks(
            {{beginHead() + "Transfer-Encoding: chunked\r\n\r\n" + chunk(firstEvent), true}});
    ScriptedUpstream upstream({script});
    RelayFixture fixture({&breaks, &upstream});
    std::string got = fixture.call(request("/stream/"));
    CHECK(upstream.requests().size() == 1);
    return got;
}

} // namespace

// Guards against what was read of an answer that breaks off being taken for the answer: a status, a
// length of fewer digits, or a body as far as it came.
TEST_CASE("an answer that ends within its head is none")
{
    for (const bool isReset : {false, true}) {
        for (const CutAnswer &cut : cutHeads()) {
            CAPTURE(isReset);
            CAPTURE(cut.name);
            const Script script{cut.text, isReset};
            for (const std::string path : {"/once/", "/fragile/"})
                for (const std::string &got : getAnswers(path, script))
                    CHECK(got.starts_with("HTTP/1.1 502 "));
            const std::string continued = getContinued(script);
            CHECK(continued.find("HTTP/1.1", 1) == std::string::npos);
            CHECK(continued.ends_with(chunk(firstEvent)));
        }
    }
}

TEST_CASE("an answer that ends within its body is none, and no whole stream")
{
    for (const bool isReset : {false, true}) {
        for (const CutAnswer &cut : cutBodies("paid")) {
            CAPTURE(isReset);
            CAPTURE(cut.name);
            for (const std::string &got : getAnswers("/once/", {cut.text, isReset}))
                CHECK(got.starts_with("HTTP/1.1 502 "));
        }
        for (const CutAnswer &cut : cutBodies(secondEvent)) {
            CAPTURE(isReset);
            CAPTURE(cut.name);
            const Script script{cut.text, isReset};
            for (const std::string &got : getAnswers("/fragile/", script)) {
                const bool isRefused = got.starts_with("HTTP/1.1 502 ");
                CHECK((isRefused || got.ends_with(chunk(secondEvent))));
            }
            const std::string continued = getContinued(script);
            const bool isKept = continued.ends_with(chunk(firstEvent))
                                || continued.ends_with(chunk(secondEvent));
            CHECK(isKept);
            CHECK_FALSE(containsText(continued, lastChunk));
        }
    }
}
