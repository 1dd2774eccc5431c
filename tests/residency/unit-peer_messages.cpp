#include "residency/peer_messages.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;
using gateway::SubjectKind;

namespace {

const gateway::ServiceTarget target{gateway::ServiceId("assistant"),
                                    {ModelId("lease"), AdapterId("a3")}};

const gateway::ServiceTarget boundTarget{target.service, target.target, SoftwareVersion("v1.2")};

OwnerMessage ownerMessage()
{
    OwnerMessage message;
    message.fence = Fence(41);
    message.instanceCount = 12;
    message.residencies.push_back(
            {UpstreamId("w1"),
             {{1700000000000, 3, true}, {{ModelId("lease"), {AdapterId("a3"), AdapterId("a4")}}}}});
    message.loads.push_back({UpstreamId("w1"), {12, 1, 0.5}});
    message.promises.push_back({target, 1500ms});
    message.promises.push_back({boundTarget, 300ms});
    message.suspected.emplace_back("w2");
    message.watchProgress = StoreWatchProgress{{12, 40}, {34, 41}, 250ms, 3, 38};
    message.changes.push_back({"engines/w3", "{}", 41, 34, false, false});
    message.changes.push_back({"engines/w4", "", 43, 41, true, true, 3});
    message.instances.push_back({"10.0.0.1", 7380});
    return message;
}

CrashReportMessage crashMessage()
{
    return {{{UpstreamId("w1"), 1700000000000},
             target.service,
             RequestId("9c41"),
             {{{SubjectKind::PromptPart, "5c1e"}, 7},
              {{SubjectKind::PromptPart, "91bd"}, 0},
              {{SubjectKind::Request, "00c0ffee00c0ffee"}, 1}}}};
}

} // namespace

TEST_CASE("a crash report with many parts is split, and each part names request and process")
{
    CrashReportMessage manyParts = crashMessage();
    for (int i = 0; i < 30; ++i)
        manyParts.report.subjects.push_back(
                {{SubjectKind::PromptPart, std::string(60, 'a') + std::to_string(i)}, 0});
    std::size_t partCount = 0;
    for (const CrashReportMessage &part : splitMessage(manyParts, 1000)) {
        CHECK(encodePeerMessage(part).size() <= 1000);
        CHECK(part.report.process == manyParts.report.process);
        CHECK(part.report.request == manyParts.report.request);
        partCount += part.report.subjects.size();
    }
    CHECK(partCount == 33);
}

TEST_CASE("messages about crashes are exchanged with instances that know no whole requests")
{
    using Json = nlohmann::json;
    const auto encode = [](const Json &value) {
        const std::vector<std::uint8_t> bytes = Json::to_cbor(value);
        return std::string(bytes.begin(), bytes.end());
    };
    const auto decodeJson
            = [](const std::string &bytes) { return Json::from_cbor(bytes.begin(), bytes.end()); };

    SUBCASE("what they send is about prompt parts")
    {
        const auto report = decodePeerMessage(encode({5, "w1", 1700000000000, "assistant", "9c41",
                                                      Json::array({Json::array({"5c1e", 7})})}));
        REQUIRE(report);
        CHECK(std::get<CrashReportMessage>(report.value()).report.subjects
              == std::vector<gateway::ReportedSubject>{{{SubjectKind::PromptPart, "5c1e"}, 7}});
        const auto states = decodePeerMessage(
                encode({6, Json::array({{"assistant", "91bd", 3, true, 90000, 4}})}));
        REQUIRE(states);
        CHECK(std::get<QuarantineMessage>(states.value()).entries
              == std::vector<gateway::QuarantineEntry>{
                      {{target.service, {SubjectKind::PromptPart, "91bd"}}, 3, true, 90s, 4, 0}});
    }
    SUBCASE("the places that they read have only prompt parts")
    {
        CHECK(decodeJson(encodePeerMessage(crashMessage())).at(5)
              == Json::array({{"5c1e", 7}, {"91bd", 0}}));
        const QuarantineMessage states{
                {{{target.service, {SubjectKind::Request, "00c0ffee"}}, 2, true, 9s, 3, 1}}};
        CHECK(decodeJson(encodePeerMessage(states)).at(1) == Json::array());
    }
}

TEST_CASE("decoding restores an encoded message")
{
    const DemandMessage demand{InstanceId("edge-1"),
                               true,
                               {{target, 5, 1, 250ms, 2}, {boundTarget, 0, 1, 250ms, 0}},
                               {UpstreamId("w9")}};
    const auto decodedDemand = decodePeerMessage(encodePeerMessage(demand));
    REQUIRE(decodedDemand);
    CHECK(std::get<DemandMessage>(decodedDemand.value()) == demand);
    const auto decodedOwner = decodePeerMessage(encodePeerMessage(ownerMessage()));
    REQUIRE(decodedOwner);
    CHECK(std::get<OwnerMessage>(decodedOwner.value()) == ownerMessage());
    const StreamOriginMessage origin{
            {RequestId("r1"), gateway::ServiceId("assistant"), SoftwareVersion("v1.2"), 2}};
    const auto decodedOrigin = decodePeerMessage(encodePeerMessage(origin));
    REQUIRE(decodedOrigin);
    CHECK(std::get<StreamOriginMessage>(decodedOrigin.value()) == origin);
    const StreamOriginQuery query{RequestId("r1")};
    const auto decodedQuery = decodePeerMessage(encodePeerMessage(query));
    REQUIRE(decodedQuery);
    CHECK(std::get<StreamOriginQuery>(decodedQuery.value()) == query);
    const auto decodedCrash = decodePeerMessage(encodePeerMessage(crashMessage()));
    REQUIRE(decodedCrash);
    CHECK(std::get<CrashReportMessage>(decodedCrash.value()) == crashMessage());
    const QuarantineMessage quarantine{
            {{{target.service, {SubjectKind::PromptPart, "91bd"}}, 3, true, 90s, 4, 0},
             {{target.service, {SubjectKind::PromptPart, "5c1e"}}, 2, false, 1s, 0, 0},
             {{target.service, {SubjectKind::Request, "00c0ffee00c0ffee"}}, 2, true, 9s, 3, 1}}};
    const auto decodedQuarantine = decodePeerMessage(encodePeerMessage(quarantine));
    REQUIRE(decodedQuarantine);
    CHECK(std::get<QuarantineMessage>(decodedQuarantine.value()) == quarantine);
    const LimitMessage limits{{{{UpstreamId("w1"), 1700000000000}, 1.9, 250ms},
                               {{UpstreamId("w2"), 1700000000001}, std::nullopt, 0ms}}};
    CHECK(decodePeerMessage(encodePeerMessage(limits)).value() == PeerMessage(limits));
    const gateway::PermitRequest request{17, limits.limits.front()};
    CHECK(decodePeerMessage(encodePeerMessage(request)).value() == PeerMessage(request));
    const LeavingMessage leaving{{UpstreamId("w1"), 1700000000000}};
    CHECK(decodePeerMessage(encodePeerMessage(leaving)).value() == PeerMessage(leaving));
    const gateway::PermitAnswer permit{17, true, {false, 350ms}};
    CHECK(decodePeerMessage(encodePeerMessage(permit)).value() == PeerMessage(permit));
}

TEST_CASE("evidence and states of the pace are restored from their encoding and split")
{
    const gateway::UpstreamProcess process{UpstreamId("w1"), 1700000000000};
    PaceReportMessage report{
            InstanceId("edge-1"), false, {{target.service, process, 7, 2, 1, 4, 3, 0.75, 0.5}}};
    CHECK(decodePeerMessage(encodePeerMessage(report)).value() == PeerMessage(report));
    PaceStatesMessage states{{{process, 0.55, 8, 2, true}, {process, 1.2, std::nullopt, 0, false}}};
    CHECK(decodePeerMessage(encodePeerMessage(states)).value() == PeerMessage(states));
    report.evidence.assign(60, report.evidence.front());
    states.states.assign(60, states.states.front());
    std::size_t count = 0;
    for (const PaceReportMessage &part : splitMessage(report, 1000)) {
        CHECK(encodePeerMessage(part).size() <= 1000);
        CHECK(part.isContinuation == (count > 0));
        count += part.evidence.size();
    }
    CHECK(count == 60);
    for (const PaceStatesMessage &part : splitMessage(states, 1000)) {
        CHECK(encodePeerMessage(part).size() <= 1000);
        count += part.states.size();
    }
    CHECK(count == 120);
}

TEST_CASE("questions for help and their answers are restored from their encoding")
{
    const HelpQuery query{gateway::ServiceId("rooms")};
    const auto decodedQuery = decodePeerMessage(encodePeerMessage(query));
    REQUIRE(decodedQuery);
    CHECK(std::get<HelpQuery>(decodedQuery.value()) == query);
    const HelpQuery strictQuery{gateway::ServiceId("rooms"), true};
    CHECK(decodePeerMessage(encodePeerMessage(strictQuery)).value() == PeerMessage(strictQuery));
    const forwarding::HelpOffer offer{"rooms", DataCentreId("north"), 64};
    const auto decodedOffer = decodePeerMessage(encodePeerMessage(offer));
    REQUIRE(decodedOffer);
    CHECK(std::get<forwarding::HelpOffer>(decodedOffer.value()) == offer);
}

TEST_CASE(
        "questions for consent to an ownership and their answers are restored from their encoding")
{
    const ConsentQuery query{Fence(0xfffffffffffffff0), 12, 1700ms};
    CHECK(decodePeerMessage(encodePeerMessage(query)).value() == PeerMessage(query));
    const ConsentAnswer answer{InstanceId("i7"), query.fence, query.round, true, false};
    CHECK(decodePeerMessage(encodePeerMessage(answer)).value() == PeerMessage(answer));
    const ConsentAnswer last{InstanceId("i8"), query.fence, query.round, true, true};
    CHECK(decodePeerMessage(encodePeerMessage(last)).value() == PeerMessage(last));
}

TEST_CASE("notices of candidates and their answers are restored from their encoding")
{
    const CandidateNotice notice{InstanceId("i7"), 0xfffffffffffffff0, 12};
    CHECK(decodePeerMessage(encodePeerMessage(notice)).value() == PeerMessage(notice));
    const CandidateAnswer answer{notice.process, notice.ownership, true};
    CHECK(decodePeerMessage(encodePeerMessage(answer)).value() == PeerMessage(answer));
}

TEST_CASE("batches of origins and their acknowledgements are restored from their encoding")
{
    const gateway::StreamOrigin origin{RequestId("r1"), target.service, SoftwareVersion("v1"), 0};
    const OriginBatchMessage message{
            {gateway::OriginBatchNumber(0xfffffffffffffff0),
             {origin, {RequestId("r2"), target.service, SoftwareVersion("v2"), 3}}}};
    CHECK(decodePeerMessage(encodePeerMessage(message)).value() == PeerMessage(message));
    const OriginAcknowledgement acknowledgement{message.batch.number};
    CHECK(decodePeerMessage(encodePeerMessage(acknowledgement)).value()
          == PeerMessage(acknowledgement));

    SUBCASE("a full batch fits into a datagram")
    {
        const gateway::OriginOutboxLimits limits;
        gateway::OriginBatch batch{gateway::OriginBatchNumber(7), {}};
        for (std::size_t bytes = 0; bytes + estimateBytes(origin) <= limits.maxBatchBytes;
             bytes += estimateBytes(origin))
            batch.origins.push_back(origin);
        CHECK(encodePeerMessage(OriginBatchMessage{batch}).size() <= limits.maxBatchBytes + 64);
    }
}

TEST_CASE("the owner's messages are exchanged with instances that know no era of the store")
{
    using Json = nlohmann::json;
    const auto withoutEra = [](Json message) {
        for (Json &change : message.at(7))
            change.erase(6);
        Json &progress = message.at(8);
        progress.erase(4);
        progress.erase(3);
        return message;
    };
    const std::string sent = encodePeerMessage(ownerMessage());
    const Json present = Json::from_cbor(sent.begin(), sent.end());
    const Json former = withoutEra(present);

    SUBCASE("what they send has era zero")
    {
        const std::vector<std::uint8_t> bytes = Json::to_cbor(former);
        const auto decoded = decodePeerMessage(std::string(bytes.begin(), bytes.end()));
        REQUIRE(decoded);
        const auto &message = std::get<OwnerMessage>(decoded.value());
        CHECK(message.watchProgress == StoreWatchProgress{{12, 40}, {34, 41}, 250ms, 0, 0});
        REQUIRE(message.changes.size() == 2);
        CHECK(message.changes[1].era == 0);
        CHECK(message.changes[1].revision == 43);
    }
    SUBCASE("what they read stands where it did")
    {
        CHECK(former.at(7).at(0) == Json::array({"engines/w3", "{}", 41, 34, false, false}));
        CHECK(former.at(8) == Json::array({Json::array({12, 40}), Json::array({34, 41}), 250}));
    }
}

TEST_CASE("bytes that don't encode a message are rejected")
{
    const std::string bytes = encodePeerMessage(ownerMessage());
    CHECK_FALSE(decodePeerMessage(""));
    CHECK_FALSE(decodePeerMessage("hello"));
    const std::string unknownKind = {'\x82', '\x09', '\x61', 'r'};
    CHECK_FALSE(decodePeerMessage(unknownKind));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodePeerMessage(std::string_view(bytes).substr(0, length)));
}

TEST_CASE("a long message is split into datagrams that contain all of its elements")
{
    OwnerMessage message = ownerMessage();
    for (int i = 0; i < 200; ++i)
        message.residencies.push_back(
                {UpstreamId("w" + std::to_string(i)), message.residencies[0].residency});
    std::size_t residencyCount = 0;
    std::size_t promiseCount = 0;
    for (const OwnerMessage &part : splitMessage(message, 1300)) {
        CHECK(encodePeerMessage(part).size() <= 1400);
        CHECK(part.fence == message.fence);
        residencyCount += part.residencies.size();
        promiseCount += part.promises.size();
    }
    CHECK(residencyCount == message.residencies.size());
    CHECK(promiseCount == message.promises.size());

    SUBCASE("all parts of a demand message but the first are continuations")
    {
        DemandMessage demand{InstanceId("edge-1"), false, {}, {}};
        demand.demand.assign(100, {target, 5, 1, 250ms, 2});
        const auto parts = splitMessage(demand, 1300);
        REQUIRE(parts.size() > 1);
        CHECK_FALSE(parts[0].isContinuation);
        CHECK(parts[1].isContinuation);
    }
}
