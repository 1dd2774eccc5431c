#include "residency/peer_messages.hpp"

#include "core/bounded_duration.hpp"
#include "core/bounded_json.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::residency {

namespace {

using Json = nlohmann::json;

/// First element of an encoded message: its kind.
constexpr int demandKind = 1;
constexpr int ownerKind = 2;
constexpr int streamOriginKind = 3;
constexpr int streamOriginQueryKind = 4;
constexpr int crashReportKind = 5;
constexpr int quarantineKind = 6;
constexpr int limitKind = 7;
constexpr int permitRequestKind = 8;
constexpr int permitAnswerKind = 9;
constexpr int leavingKind = 10;
constexpr int helpQueryKind = 11;
constexpr int helpOfferKind = 12;
constexpr int originBatchKind = 13;
constexpr int originAcknowledgementKind = 14;
constexpr int consentQueryKind = 15;
constexpr int consentAnswerKind = 16;
constexpr int quotaReportKind = 17;
constexpr int quotaSharesKind = 18;
constexpr int paceReportKind = 19;
constexpr int paceStatesKind = 20;
constexpr int candidateNoticeKind = 21;
constexpr int candidateAnswerKind = 22;
/// Times of evidence are sent in microseconds, and speeds in thousandths.
constexpr double microsPerSecond = 1e6;
constexpr double speedScale = 1000;
/// Units are sent as whole numbers, and shares in thousandths.
constexpr double shareScale = 1000;
/// Slots of a workspace in a report; several times as many as the default window has.
constexpr std::size_t maxQuotaSlots = 256;
/// Elements of an owner's message, a demand, a promise and an origin that instances of earlier
/// releases neither send nor read.
constexpr std::size_t instancesIndex = 9;
constexpr std::size_t demandVersionIndex = 6;
constexpr std::size_t promiseVersionIndex = 3;
constexpr std::size_t originCorrectionIndex = 4;
/// The same of the owner's progress and of a forwarded change: the era of the store, and the
/// revision of the owner's record.
constexpr std::size_t progressEraIndex = 3;
constexpr std::size_t progressOwnerIndex = 4;
constexpr std::size_t changeEraIndex = 6;
/// The same of a crash report and of states of the quarantine: those of whole requests.
constexpr std::size_t reportedRequestsIndex = 6;
constexpr std::size_t requestEntriesIndex = 2;
/// Cache use is sent in thousandths.
constexpr double cacheUseScale = 1000;

std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Duration fromMillis(const Json &value)
{
    return toBoundedDuration(std::chrono::milliseconds(readInteger<std::int64_t>(value)));
}

/// Rounds a number that is not negative.
std::uint64_t toWhole(double number)
{
    constexpr double largest = 1e15;
    return static_cast<std::uint64_t>(std::llround(std::clamp(number, 0.0, largest)));
}

Json toJson(const Target &target)
{
    return Json::array({target.model.value(), target.adapter.value()});
}

Target decodeTarget(const Json &value)
{
    return Target{ModelId(value.at(0).get<std::string>()),
                  AdapterId(value.at(1).get<std::string>())};
}

/// Decodes a number that earlier releases don't send; zero when it is missing.
std::uint64_t decodeCount(const Json &value, std::size_t index)
{
    return value.size() > index ? readInteger<std::uint64_t>(value.at(index)) : 0;
}

SoftwareVersion decodeVersion(const Json &value, std::size_t index)
{
    return SoftwareVersion(value.size() > index ? value.at(index).get<std::string>()
                                                : std::string());
}

Json toJson(const gateway::TargetDemand &demand)
{
    return Json::array({demand.target.service.value(), toJson(demand.target.target),
                        demand.arrivals, demand.waiting, toMillis(demand.shortestWait),
                        demand.running, demand.target.version.value()});
}

gateway::TargetDemand decodeDemand(const Json &value)
{
    return gateway::TargetDemand{{gateway::ServiceId(value.at(0).get<std::string>()),
                                  decodeTarget(value.at(1)),
                                  decodeVersion(value, demandVersionIndex)},
                                 readInteger<std::uint32_t>(value.at(2)),
                                 readInteger<std::uint32_t>(value.at(3)),
                                 fromMillis(value.at(4)),
                                 readInteger<std::uint32_t>(value.at(5))};
}

Json toJson(const UpstreamResidency &upstreamResidency)
{
    Json models = Json::array();
    for (const gateway::ResidentModel &model : upstreamResidency.residency.models) {
        Json adapters = Json::array();
        for (const AdapterId &adapter : model.adapters)
            adapters.push_back(adapter.value());
        models.push_back(Json::array({model.model.value(), std::move(adapters)}));
    }
    const gateway::ResidencyVersion &version = upstreamResidency.residency.version;
    return Json::array({upstreamResidency.upstream.value(), version.startedAt,
                        version.acceptedOrders, version.isSettled, std::move(models)});
}

UpstreamResidency decodeResidency(const Json &value)
{
    UpstreamResidency upstreamResidency;
    upstreamResidency.upstream = UpstreamId(value.at(0).get<std::string>());
    upstreamResidency.residency.version
            = {readInteger<std::uint64_t>(value.at(1)), readInteger<std::uint64_t>(value.at(2)),
               value.at(3).get<bool>()};
    for (const Json &entry : value.at(4)) {
        gateway::ResidentModel model{ModelId(entry.at(0).get<std::string>()), {}};
        for (const Json &adapter : entry.at(1))
            model.adapters.emplace_back(adapter.get<std::string>());
        upstreamResidency.residency.models.push_back(std::move(model));
    }
    return upstreamResidency;
}

Json toJson(const UpstreamLoad &load)
{
    return Json::array({load.upstream.value(), load.load.running, load.load.waiting,
                        static_cast<int>(load.load.kvCacheUse * cacheUseScale)});
}

UpstreamLoad decodeLoad(const Json &value)
{
    return UpstreamLoad{UpstreamId(value.at(0).get<std::string>()),
                        {readInteger<std::uint32_t>(value.at(1)),
                         readInteger<std::uint32_t>(value.at(2)),
                         std::clamp(readFinite(value.at(3)) / cacheUseScale, 0.0, 1.0)}};
}

Json toJson(const PromisedTarget &promise)
{
    return Json::array({promise.target.service.value(), toJson(promise.target.target),
                        toMillis(promise.readyIn), promise.target.version.value()});
}

PromisedTarget decodePromise(const Json &value)
{
    return PromisedTarget{{gateway::ServiceId(value.at(0).get<std::string>()),
                           decodeTarget(value.at(1)), decodeVersion(value, promiseVersionIndex)},
                          fromMillis(value.at(2))};
}

Json toJson(const WatchProgress &part)
{
    return Json::array({part.lastChange, part.seenUpTo});
}

WatchProgress decodeProgress(const Json &value)
{
    return WatchProgress{readInteger<std::uint64_t>(value.at(0)),
                         readInteger<std::uint64_t>(value.at(1))};
}

Json toJson(const ForwardedChange &change)
{
    return Json::array({change.key, change.value, change.revision, change.previous,
                        change.isRemoval, change.isDoubtful, change.era});
}

ForwardedChange decodeChange(const Json &value)
{
    return ForwardedChange{value.at(0).get<std::string>(),
                           value.at(1).get<std::string>(),
                           readInteger<std::uint64_t>(value.at(2)),
                           readInteger<std::uint64_t>(value.at(3)),
                           value.at(4).get<bool>(),
                           value.at(5).get<bool>(),
                           decodeCount(value, changeEraIndex)};
}

Json toJson(const Endpoint &endpoint)
{
    return Json::array({endpoint.address, endpoint.port});
}

Endpoint decodeEndpoint(const Json &value)
{
    return Endpoint{value.at(0).get<std::string>(), readInteger<std::uint16_t>(value.at(1))};
}

Json toJson(const UpstreamId &id)
{
    return id.value();
}

UpstreamId decodeUpstream(const Json &value)
{
    return UpstreamId(value.get<std::string>());
}

Json toJson(const gateway::ReportedSubject &reported)
{
    return Json::array({reported.subject.id, reported.completions});
}

gateway::ReportedSubject decodeReported(const Json &value, gateway::SubjectKind kind)
{
    return gateway::ReportedSubject{{kind, value.at(0).get<std::string>()},
                                    readInteger<std::uint32_t>(value.at(1))};
}

Json toJson(const gateway::LimitReport &report)
{
    return Json::array({report.process.upstream.value(), report.process.startedAt,
                        report.requestsPerSecond.value_or(0), toMillis(report.age)});
}

gateway::LimitReport decodeLimitReport(const Json &value)
{
    gateway::LimitReport report{
            {UpstreamId(value.at(0).get<std::string>()), readInteger<std::uint64_t>(value.at(1))},
            std::nullopt,
            fromMillis(value.at(3))};
    const double limit = readFinite(value.at(2));
    if (limit > 0)
        report.requestsPerSecond = limit;
    return report;
}

Json toJson(const gateway::QuarantineEntry &entry)
{
    Json value = Json::array({entry.key.service.value(), entry.key.subject.id, entry.generation,
                              entry.isQuarantined, toMillis(entry.remaining), entry.crashes});
    if (entry.key.subject.kind == gateway::SubjectKind::Request)
        value.push_back(entry.trials);
    return value;
}

gateway::QuarantineEntry decodeQuarantineEntry(const Json &value, gateway::SubjectKind kind)
{
    const bool isRequest = kind == gateway::SubjectKind::Request;
    return gateway::QuarantineEntry{{gateway::ServiceId(value.at(0).get<std::string>()),
                                     {kind, value.at(1).get<std::string>()}},
                                    readInteger<std::uint32_t>(value.at(2)),
                                    value.at(3).get<bool>(),
                                    fromMillis(value.at(4)),
                                    readInteger<std::uint32_t>(value.at(5)),
                                    isRequest ? readInteger<std::uint32_t>(value.at(6)) : 0};
}

Json toJson(const gateway::StreamOrigin &origin)
{
    return Json::array({origin.request.value(), origin.service.value(), origin.version.value(),
                        origin.correction});
}

gateway::StreamOrigin decodeOrigin(const Json &value)
{
    return gateway::StreamOrigin{RequestId(value.at(0).get<std::string>()),
                                 gateway::ServiceId(value.at(1).get<std::string>()),
                                 SoftwareVersion(value.at(2).get<std::string>()),
                                 readInteger<std::uint32_t>(value.at(3))};
}

Json toJson(const gateway::QuotaUse &use)
{
    Json slots = Json::array();
    for (const gateway::QuotaSlot &slot : use.slots) {
        slots.push_back(slot.age);
        slots.push_back(toWhole(slot.admitted));
        slots.push_back(toWhole(slot.asked));
    }
    return Json::array({use.workspace.value(), std::move(slots)});
}

gateway::QuotaUse decodeQuotaUse(const Json &value)
{
    constexpr std::size_t numbersPerSlot = 3;
    gateway::QuotaUse use{WorkspaceId(value.at(0).get<std::string>()), {}};
    const Json &slots = value.at(1);
    if (slots.size() / numbersPerSlot > maxQuotaSlots)
        throw JsonBoundsError("more slots than a window has");
    for (std::size_t i = 0; i + numbersPerSlot <= slots.size(); i += numbersPerSlot)
        use.slots.push_back({readInteger<std::uint32_t>(slots.at(i)),
                             static_cast<double>(readInteger<std::uint64_t>(slots.at(i + 1))),
                             static_cast<double>(readInteger<std::uint64_t>(slots.at(i + 2)))});
    return use;
}

Json toJson(const gateway::QuotaShare &share)
{
    return Json::array({share.workspace.value(), toWhole(share.admitted * shareScale),
                        toWhole(share.askedPerSecond)});
}

gateway::QuotaShare decodeQuotaShare(const Json &value)
{
    const auto admitted = static_cast<double>(readInteger<std::uint64_t>(value.at(1)));
    return {WorkspaceId(value.at(0).get<std::string>()), std::min(admitted / shareScale, 1.0),
            static_cast<double>(readInteger<std::uint64_t>(value.at(2)))};
}

Json toJson(const gateway::UpstreamEvidence &evidence)
{
    return Json::array({evidence.service.value(), evidence.process.upstream.value(),
                        evidence.process.startedAt, evidence.completions, evidence.failures,
                        evidence.refusals, evidence.wanted, evidence.inFlight,
                        toWhole(evidence.measuredSeconds * microsPerSecond),
                        toWhole(evidence.expectedSeconds * microsPerSecond)});
}

gateway::UpstreamEvidence decodeEvidence(const Json &value)
{
    const auto count = [&value](std::size_t i) { return readInteger<std::uint32_t>(value.at(i)); };
    const auto seconds = [&value](std::size_t i) {
        return static_cast<double>(readInteger<std::uint64_t>(value.at(i))) / microsPerSecond;
    };
    return {gateway::ServiceId(value.at(0).get<std::string>()),
            {UpstreamId(value.at(1).get<std::string>()), readInteger<std::uint64_t>(value.at(2))},
            count(3),
            count(4),
            count(5),
            count(6),
            count(7),
            seconds(8),
            seconds(9)};
}

Json toJson(const gateway::UpstreamPaceState &state)
{
    return Json::array({state.process.upstream.value(), state.process.startedAt,
                        toWhole(state.speed * speedScale),
                        state.limit ? Json(*state.limit) : Json(), state.places, state.isProbed});
}

gateway::UpstreamPaceState decodePaceState(const Json &value)
{
    gateway::UpstreamPaceState state;
    state.process
            = {UpstreamId(value.at(0).get<std::string>()), readInteger<std::uint64_t>(value.at(1))};
    state.speed = static_cast<double>(readInteger<std::uint64_t>(value.at(2))) / speedScale;
    if (!value.at(3).is_null())
        state.limit = readInteger<std::uint32_t>(value.at(3));
    state.places = readInteger<std::uint32_t>(value.at(4));
    state.isProbed = value.at(5).get<bool>();
    return state;
}

gateway::SubjectKind kindOf(const gateway::ReportedSubject &reported)
{
    return reported.subject.kind;
}

gateway::SubjectKind kindOf(const gateway::QuarantineEntry &entry)
{
    return entry.key.subject.kind;
}

template<typename T>
Json toArray(const std::vector<T> &items)
{
    Json array = Json::array();
    for (const T &item : items)
        array.push_back(toJson(item));
    return array;
}

/// Encodes the items of one kind; earlier releases read only those of prompt parts.
template<typename T>
Json toArray(const std::vector<T> &items, gateway::SubjectKind kind)
{
    Json array = Json::array();
    for (const T &item : items) {
        if (kindOf(item) == kind)
            array.push_back(toJson(item));
    }
    return array;
}

template<typename T, typename Read>
std::vector<T> decodeArray(const Json &array, const Read &read)
{
    std::vector<T> items;
    for (const Json &value : array)
        items.push_back(read(value));
    return items;
}

/// Decodes an array of prompt parts, and one of whole requests, which may be missing.
template<typename T, typename Read>
std::vector<T> decodeKinds(const Json &value, std::size_t partsIndex, std::size_t requestsIndex,
                           const Read &read)
{
    std::vector<T> items;
    for (const Json &item : value.at(partsIndex))
        items.push_back(read(item, gateway::SubjectKind::PromptPart));
    if (value.size() <= requestsIndex)
        return items;
    for (const Json &item : value.at(requestsIndex))
        items.push_back(read(item, gateway::SubjectKind::Request));
    return items;
}

Json toJson(const DemandMessage &message)
{
    return Json::array({demandKind, message.sender.value(), message.isContinuation,
                        toArray(message.demand), toArray(message.suspected)});
}

Json toJson(const OwnerMessage &message)
{
    Json watchProgress;
    if (message.watchProgress)
        watchProgress = Json::array(
                {toJson(message.watchProgress->configuration),
                 toJson(message.watchProgress->registrations), toMillis(message.watchProgress->age),
                 message.watchProgress->era, message.watchProgress->ownerRevision});
    return Json::array(
            {ownerKind, message.fence.value(), message.instanceCount, toArray(message.residencies),
             toArray(message.loads), toArray(message.promises), toArray(message.suspected),
             toArray(message.changes), std::move(watchProgress), toArray(message.instances)});
}

Json toJson(const StreamOriginMessage &message)
{
    const gateway::StreamOrigin &origin = message.origin;
    return Json::array({streamOriginKind, origin.request.value(), origin.service.value(),
                        origin.version.value(), origin.correction});
}

Json toJson(const OriginBatchMessage &message)
{
    return Json::array(
            {originBatchKind, message.batch.number.value(), toArray(message.batch.origins)});
}

Json toJson(const OriginAcknowledgement &message)
{
    return Json::array({originAcknowledgementKind, message.batch.value()});
}

Json toJson(const StreamOriginQuery &message)
{
    return Json::array({streamOriginQueryKind, message.request.value()});
}

Json toJson(const CrashReportMessage &message)
{
    const gateway::CrashReport &report = message.report;
    return Json::array({crashReportKind, report.process.upstream.value(), report.process.startedAt,
                        report.service.value(), report.request.value(),
                        toArray(report.subjects, gateway::SubjectKind::PromptPart),
                        toArray(report.subjects, gateway::SubjectKind::Request)});
}

Json toJson(const QuarantineMessage &message)
{
    return Json::array({quarantineKind, toArray(message.entries, gateway::SubjectKind::PromptPart),
                        toArray(message.entries, gateway::SubjectKind::Request)});
}

Json toJson(const LimitMessage &message)
{
    return Json::array({limitKind, toArray(message.limits)});
}

Json toJson(const gateway::PermitRequest &message)
{
    return Json::array({permitRequestKind, message.number, toJson(message.limit)});
}

Json toJson(const gateway::PermitAnswer &message)
{
    return Json::array({permitAnswerKind, message.number, message.isIssuer,
                        message.decision.isGranted, toMillis(message.decision.nextIn)});
}

Json toJson(const LeavingMessage &message)
{
    return Json::array({leavingKind, message.process.upstream.value(), message.process.startedAt});
}

Json toJson(const HelpQuery &message)
{
    return Json::array({helpQueryKind, message.service.value(), message.isAnswerNeeded});
}

Json toJson(const forwarding::HelpOffer &message)
{
    return Json::array(
            {helpOfferKind, message.service, message.dataCentre.value(), message.freePlaces});
}

Json toJson(const ConsentQuery &query)
{
    return Json::array(
            {consentQueryKind, query.fence.value(), query.round, toMillis(query.storeLostFor)});
}

Json toJson(const ConsentAnswer &answer)
{
    return Json::array({consentAnswerKind, answer.sender.value(), answer.fence.value(),
                        answer.round, answer.isGranted, answer.isFinal});
}

Json toJson(const CandidateNotice &notice)
{
    return Json::array(
            {candidateNoticeKind, notice.sender.value(), notice.process, notice.ownership});
}

Json toJson(const CandidateAnswer &answer)
{
    return Json::array({candidateAnswerKind, answer.process, answer.ownership, answer.isOwner});
}

Json toJson(const QuotaReportMessage &message)
{
    return Json::array({quotaReportKind, message.report.reporter.value(),
                        toMillis(message.report.known), toArray(message.report.uses)});
}

Json toJson(const QuotaSharesMessage &message)
{
    return Json::array({quotaSharesKind, toArray(message.shares), message.isContinuation});
}

Json toJson(const PaceReportMessage &message)
{
    return Json::array({paceReportKind, message.reporter.value(), message.isContinuation,
                        toArray(message.evidence)});
}

Json toJson(const PaceStatesMessage &message)
{
    return Json::array({paceStatesKind, toArray(message.states)});
}

CrashReportMessage decodeCrashReport(const Json &value)
{
    return CrashReportMessage{
            {{UpstreamId(value.at(1).get<std::string>()), readInteger<std::uint64_t>(value.at(2))},
             gateway::ServiceId(value.at(3).get<std::string>()),
             RequestId(value.at(4).get<std::string>()),
             decodeKinds<gateway::ReportedSubject>(value, 5, reportedRequestsIndex,
                                                   decodeReported)}};
}

StreamOriginMessage decodeStreamOrigin(const Json &value)
{
    return StreamOriginMessage{{RequestId(value.at(1).get<std::string>()),
                                gateway::ServiceId(value.at(2).get<std::string>()),
                                SoftwareVersion(value.at(3).get<std::string>()),
                                value.size() > originCorrectionIndex ? readInteger<std::uint32_t>(
                                        value.at(originCorrectionIndex))
                                                                     : 0}};
}

DemandMessage decodeDemandMessage(const Json &value)
{
    return DemandMessage{InstanceId(value.at(1).get<std::string>()), value.at(2).get<bool>(),
                         decodeArray<gateway::TargetDemand>(value.at(3), decodeDemand),
                         decodeArray<UpstreamId>(value.at(4), decodeUpstream)};
}

OwnerMessage decodeOwnerMessage(const Json &value)
{
    std::optional<StoreWatchProgress> watchProgress;
    if (const Json &encodedProgress = value.at(8); !encodedProgress.is_null())
        watchProgress = StoreWatchProgress{
                decodeProgress(encodedProgress.at(0)), decodeProgress(encodedProgress.at(1)),
                fromMillis(encodedProgress.at(2)), decodeCount(encodedProgress, progressEraIndex),
                decodeCount(encodedProgress, progressOwnerIndex)};
    return OwnerMessage{Fence(readInteger<std::uint64_t>(value.at(1))),
                        readInteger<std::uint32_t>(value.at(2)),
                        decodeArray<UpstreamResidency>(value.at(3), decodeResidency),
                        decodeArray<UpstreamLoad>(value.at(4), decodeLoad),
                        decodeArray<PromisedTarget>(value.at(5), decodePromise),
                        decodeArray<UpstreamId>(value.at(6), decodeUpstream),
                        decodeArray<ForwardedChange>(value.at(7), decodeChange),
                        watchProgress,
                        value.size() > instancesIndex
                                ? decodeArray<Endpoint>(value.at(instancesIndex), decodeEndpoint)
                                : std::vector<Endpoint>()};
}

Result<PeerMessage> decodeMessage(const Json &value)
{
    const int kind = readInteger<int>(value.at(0));
    switch (kind) {
    case demandKind:
        return PeerMessage(decodeDemandMessage(value));
    case ownerKind:
        return PeerMessage(decodeOwnerMessage(value));
    case streamOriginKind:
        return PeerMessage(decodeStreamOrigin(value));
    case streamOriginQueryKind:
        return PeerMessage(StreamOriginQuery{RequestId(value.at(1).get<std::string>())});
    case crashReportKind:
        return PeerMessage(decodeCrashReport(value));
    case quarantineKind:
        return PeerMessage(QuarantineMessage{decodeKinds<gateway::QuarantineEntry>(
                value, 1, requestEntriesIndex, decodeQuarantineEntry)});
    case limitKind:
        return PeerMessage(
                LimitMessage{decodeArray<gateway::LimitReport>(value.at(1), decodeLimitReport)});
    case permitRequestKind:
        return PeerMessage(gateway::PermitRequest{readInteger<std::uint64_t>(value.at(1)),
                                                  decodeLimitReport(value.at(2))});
    case leavingKind:
        return PeerMessage(LeavingMessage{{UpstreamId(value.at(1).get<std::string>()),
                                           readInteger<std::uint64_t>(value.at(2))}});
    case helpQueryKind:
        // Instances of earlier releases don't send the last element.
        return PeerMessage(HelpQuery{gateway::ServiceId(value.at(1).get<std::string>()),
                                     value.size() > 2 && value.at(2).get<bool>()});
    case helpOfferKind:
        return PeerMessage(forwarding::HelpOffer{value.at(1).get<std::string>(),
                                                 DataCentreId(value.at(2).get<std::string>()),
                                                 readInteger<std::uint32_t>(value.at(3))});
    case originBatchKind:
        return PeerMessage(OriginBatchMessage{
                {gateway::OriginBatchNumber(readInteger<std::uint64_t>(value.at(1))),
                 decodeArray<gateway::StreamOrigin>(value.at(2), decodeOrigin)}});
    case originAcknowledgementKind:
        return PeerMessage(OriginAcknowledgement{
                gateway::OriginBatchNumber(readInteger<std::uint64_t>(value.at(1)))});
    case consentQueryKind:
        return PeerMessage(ConsentQuery{Fence(readInteger<std::uint64_t>(value.at(1))),
                                        readInteger<std::uint64_t>(value.at(2)),
                                        fromMillis(value.at(3))});
    case consentAnswerKind:
        return PeerMessage(ConsentAnswer{InstanceId(value.at(1).get<std::string>()),
                                         Fence(readInteger<std::uint64_t>(value.at(2))),
                                         readInteger<std::uint64_t>(value.at(3)),
                                         value.at(4).get<bool>(), value.at(5).get<bool>()});
    case candidateNoticeKind:
        return PeerMessage(CandidateNotice{InstanceId(value.at(1).get<std::string>()),
                                           readInteger<std::uint64_t>(value.at(2)),
                                           readInteger<std::uint64_t>(value.at(3))});
    case candidateAnswerKind:
        return PeerMessage(CandidateAnswer{readInteger<std::uint64_t>(value.at(1)),
                                           readInteger<std::uint64_t>(value.at(2)),
                                           value.at(3).get<bool>()});
    case quotaReportKind:
        return PeerMessage(QuotaReportMessage{
                {InstanceId(value.at(1).get<std::string>()), fromMillis(value.at(2)),
                 decodeArray<gateway::QuotaUse>(value.at(3), decodeQuotaUse)}});
    case quotaSharesKind:
        return PeerMessage(
                QuotaSharesMessage{decodeArray<gateway::QuotaShare>(value.at(1), decodeQuotaShare),
                                   value.at(2).get<bool>()});
    case paceReportKind:
        return PeerMessage(PaceReportMessage{
                InstanceId(value.at(1).get<std::string>()), value.at(2).get<bool>(),
                decodeArray<gateway::UpstreamEvidence>(value.at(3), decodeEvidence)});
    case paceStatesKind:
        return PeerMessage(PaceStatesMessage{
                decodeArray<gateway::UpstreamPaceState>(value.at(1), decodePaceState)});
    case permitAnswerKind:
        return PeerMessage(
                gateway::PermitAnswer{readInteger<std::uint64_t>(value.at(1)),
                                      value.at(2).get<bool>(),
                                      {value.at(3).get<bool>(), fromMillis(value.at(4))}});
    default:
        return Error(ErrorKind::MalformedRequest, fmt::format("unknown kind of message {}", kind));
    }
}

std::string encode(const Json &value)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

/// Appends the items of a list to the last part, and to new parts where it would get too long.
/// @param list returns the list of a part
template<typename Message, typename T, typename List>
void distribute(std::vector<Message> &parts, const Message &emptyPart, const std::vector<T> &items,
                const List &list, std::size_t maxBytes)
{
    std::size_t bytes = encode(toJson(parts.back())).size();
    for (const T &item : items) {
        const std::size_t added = encode(toJson(item)).size();
        if (bytes + added > maxBytes) {
            parts.push_back(emptyPart);
            bytes = encode(toJson(parts.back())).size();
        }
        std::invoke(list, parts.back()).push_back(item);
        bytes += added;
    }
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    return std::visit([](const auto &typedMessage) { return encode(toJson(typedMessage)); },
                      message);
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    try {
        return decodeMessage(parseBoundedJson(bytes, {}, Json::input_format_t::cbor));
    } catch (const Json::exception &failure) {
        return Error(ErrorKind::MalformedRequest, JsonBoundsError(failure.what()).what());
    } catch (const JsonBoundsError &failure) {
        return Error(ErrorKind::MalformedRequest, failure.what());
    }
}

std::vector<DemandMessage> splitMessage(const DemandMessage &message, std::size_t maxBytes)
{
    const DemandMessage emptyPart{message.sender, true, {}, {}};
    std::vector<DemandMessage> parts{{message.sender, message.isContinuation, {}, {}}};
    distribute(parts, emptyPart, message.demand, &DemandMessage::demand, maxBytes);
    distribute(parts, emptyPart, message.suspected, &DemandMessage::suspected, maxBytes);
    return parts;
}

std::vector<OwnerMessage> splitMessage(const OwnerMessage &message, std::size_t maxBytes)
{
    OwnerMessage emptyPart;
    emptyPart.fence = message.fence;
    emptyPart.instanceCount = message.instanceCount;
    std::vector<OwnerMessage> parts{emptyPart};
    parts.front().watchProgress = message.watchProgress;
    distribute(parts, emptyPart, message.residencies, &OwnerMessage::residencies, maxBytes);
    distribute(parts, emptyPart, message.loads, &OwnerMessage::loads, maxBytes);
    distribute(parts, emptyPart, message.promises, &OwnerMessage::promises, maxBytes);
    distribute(parts, emptyPart, message.suspected, &OwnerMessage::suspected, maxBytes);
    distribute(parts, emptyPart, message.changes, &OwnerMessage::changes, maxBytes);
    distribute(parts, emptyPart, message.instances, &OwnerMessage::instances, maxBytes);
    return parts;
}

std::vector<CrashReportMessage> splitMessage(const CrashReportMessage &message,
                                             std::size_t maxBytes)
{
    CrashReportMessage emptyPart = message;
    emptyPart.report.subjects.clear();
    std::vector<CrashReportMessage> parts{emptyPart};
    distribute(
            parts, emptyPart, message.report.subjects,
            [](CrashReportMessage & part) -> auto & { return part.report.subjects; }, maxBytes);
    return parts;
}

std::vector<QuarantineMessage> splitMessage(const QuarantineMessage &message, std::size_t maxBytes)
{
    std::vector<QuarantineMessage> parts{QuarantineMessage{}};
    distribute(parts, QuarantineMessage{}, message.entries, &QuarantineMessage::entries, maxBytes);
    return parts;
}

std::vector<LimitMessage> splitMessage(const LimitMessage &message, std::size_t maxBytes)
{
    std::vector<LimitMessage> parts{LimitMessage{}};
    distribute(parts, LimitMessage{}, message.limits, &LimitMessage::limits, maxBytes);
    return parts;
}

std::vector<QuotaReportMessage> splitMessage(const QuotaReportMessage &message,
                                             std::size_t maxBytes)
{
    QuotaReportMessage emptyPart{{message.report.reporter, message.report.known, {}}};
    std::vector<QuotaReportMessage> parts{emptyPart};
    distribute(
            parts, emptyPart, message.report.uses,
            [](QuotaReportMessage & part) -> auto & { return part.report.uses; }, maxBytes);
    return parts;
}

std::vector<QuotaSharesMessage> splitMessage(const QuotaSharesMessage &message,
                                             std::size_t maxBytes)
{
    std::vector<QuotaSharesMessage> parts{{{}, message.isContinuation}};
    distribute(parts, QuotaSharesMessage{{}, true}, message.shares, &QuotaSharesMessage::shares,
               maxBytes);
    return parts;
}

std::vector<PaceReportMessage> splitMessage(const PaceReportMessage &message, std::size_t maxBytes)
{
    std::vector<PaceReportMessage> parts{{message.reporter, message.isContinuation, {}}};
    const PaceReportMessage emptyPart{message.reporter, true, {}};
    distribute(parts, emptyPart, message.evidence, &PaceReportMessage::evidence, maxBytes);
    return parts;
}

std::vector<PaceStatesMessage> splitMessage(const PaceStatesMessage &message, std::size_t maxBytes)
{
    std::vector<PaceStatesMessage> parts{PaceStatesMessage{}};
    distribute(parts, PaceStatesMessage{}, message.states, &PaceStatesMessage::states, maxBytes);
    return parts;
}

} // namespace bamboochute::residency
