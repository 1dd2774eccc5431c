#include "gateway/exchange_limits.hpp"
#include "gateway/log_fields.hpp"
#include "gateway/request_exchange.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::gateway {

using upstream::Awaitable;

/// Finds out the origin of the stream that the caller takes up, or which versions may have begun
/// it.
Awaitable<void> RequestExchange::findStreamOrigin()
{
    const RequestId &begun = this->attributes.resumedRequest;
    const auto isKnown = [&] { return this->gateway.origins.find(begun).has_value(); };
    // Nobody remembers a longer id, and it could exceed a datagram.
    const bool isTooLong = begun.value().size() > StreamOriginLimits().maxRequestIdBytes;
    if (!begun.isEmpty() && !isTooLong && !isKnown() && this->gateway.onOriginWanted)
        co_await this->askForOrigin();
    if (!isKnown())
        co_await this->confirmVersions();
}

/// Asks the other instances for the origin of the stream, and waits for it.
Awaitable<void> RequestExchange::askForOrigin()
{
    const RequestId &begun = this->attributes.resumedRequest;
    const auto isKnown = [&] { return this->gateway.origins.find(begun).has_value(); };
    const TimePoint begin = this->now();
    const TimePoint giveUpAt = std::min(this->deadline, begin + originQueryTimeout);
    int questions = 0;
    // A process that was held up asks again all the same, and reads what has come meanwhile.
    const auto mayAsk = [&] {
        return this->now() < giveUpAt
               || (questions < minOriginQueries && this->now() < this->deadline);
    };
    ++this->gateway.originWaits;
    while (!isKnown() && !this->isCallerGone && mayAsk()) {
        this->gateway.onOriginWanted(begun, questions > 0);
        ++questions;
        const TimePoint askAgainAt = std::min(this->deadline, this->now() + originQueryInterval);
        while (!isKnown() && !this->isCallerGone && this->now() < askAgainAt)
            co_await this->gateway.change.wait(askAgainAt);
    }
    const TimePoint readBy = std::min(this->deadline, giveUpAt + storedOriginsTimeout);
    while (!isKnown() && !this->isCallerGone && !this->gateway.areStoredOriginsRead
           && this->now() < readBy)
        co_await this->gateway.change.wait(readBy);
    --this->gateway.originWaits;
    this->log(LogLevel::Info, "asked for the origin of a stream", isKnown() ? "known" : "unknown",
              {"waited_ms", formatMilliseconds(this->now() - begin)});
}

/// Has the record of versions read, and waits for it.
Awaitable<void> RequestExchange::confirmVersions()
{
    if (!this->gateway.onVersionsWanted)
        co_return;
    const TimePoint begin = this->now();
    const TimePoint readBy = std::min(this->deadline, begin + versionsReadTimeout);
    const auto isRead = [&] { return this->gateway.versionsReadAt >= begin; };
    this->gateway.onVersionsWanted();
    while (!isRead() && !this->isCallerGone && this->now() < readBy)
        co_await this->gateway.change.wait(readBy);
    this->areVersionsConfirmed = isRead();
}

/// Binds a resumed stream to the version that began it; returns false when that is not known.
bool RequestExchange::applyStreamOrigin()
{
    const bool isBound = this->forwarded && this->forwarded->version;
    if (!this->isResumption() || isBound)
        return true;
    const std::optional<StreamOrigin> origin
            = this->gateway.origins.find(this->attributes.resumedRequest);
    this->requiredVersion = origin ? origin->version : this->findSoleVersion();
    return this->requiredVersion.has_value();
}

/// The version of the stream if only one may have begun it; it is asked for when nobody remembers
/// the stream.
std::optional<SoftwareVersion> RequestExchange::findSoleVersion() const
{
    SoleVersion sole = this->gateway.versions.soleVersion(this->route->serviceIds(), this->now());
    if (!this->areVersionsConfirmed && sole.kind == SoleVersion::Kind::Known)
        sole = {SoleVersion::Kind::NotConfirmed, std::nullopt};
    const std::string reason(kindName(sole.kind));
    this->gateway.metrics
            .counter("bamboochute_streams_of_unknown_origin_total",
                     fmt::format("version=\"{}\"", reason))
            .add();
    this->log(LogLevel::Info, "nobody remembers the origin of a stream", reason,
              {"sole_version", sole.version ? sole.version->value() : std::string()});
    return sole.version;
}

/// Binds the stream to the version of the current upstream, once a part of it was received; returns
/// false if the stream began at another version.
///
/// If the upstream has started again since the request was sent, and not with the same version,
/// either of the two processes may have sent the part, so that the version is not known any more.
bool RequestExchange::bindStreamVersion()
{
    if (this->attempt.helper)
        return this->bindHelperVersion();
    const UpstreamTable::Entry *entry = this->gateway.table.find(this->attempt.upstream);
    SoftwareVersion version = this->attempt.version;
    if (entry != nullptr && entry->softwareVersion() != version)
        version = entry->process() == this->attempt.process ? entry->softwareVersion()
                                                            : SoftwareVersion();
    if (this->requiredVersion == version)
        return true;
    if (this->requiredVersion && this->beginSend != this->attempt.number)
        return false;
    this->announceVersion(version);
    return true;
}

/// Binds the stream to a version and tells it to other instances; no upstream has an empty one.
void RequestExchange::announceVersion(const SoftwareVersion &version)
{
    if (this->requiredVersion)
        ++this->originCorrections;
    this->requiredVersion = version;
    this->beginSend = this->attempt.number;
    if (!this->route->isResumable)
        return;
    const StreamOrigin origin{this->attributes.id, this->service->id, version,
                              this->originCorrections};
    this->gateway.origins.record(origin, this->now());
    if (this->gateway.onStreamBegun)
        this->gateway.onStreamBegun(origin);
}

/// Returns the id of the last event that the caller has; empty when the stream begins.
const std::string &RequestExchange::resumePoint() const
{
    return this->continuation.lastEventId().empty() ? this->attributes.lastEventId
                                                    : this->continuation.lastEventId();
}

} // namespace bamboochute::gateway
