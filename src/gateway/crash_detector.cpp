#include "gateway/crash_detector.hpp"

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboochute::gateway {

std::string_view processEndName(ProcessEnd end) noexcept
{
    constexpr std::array<std::string_view, 4> names{"refused", "replaced", "removed", "reported"};
    return names[static_cast<std::size_t>(end)];
}

CrashDetector::CrashDetector(boost::asio::io_context &loop, upstream::ConnectionPool &pool,
                             const UpstreamTable &table, CrashDetectorLimits limits)
    : loop(loop)
    , pool(pool)
    , table(table)
    , limits(limits)
    , timer(loop)
{}

void CrashDetector::check(const BrokenRequest &broken)
{
    const auto known = std::find_if(this->ended.begin(), this->ended.end(),
                                    [&](const auto &item) { return item.first == broken.process; });
    if (known != this->ended.end()) {
        if (this->onCrash && !this->wasBrokenByCut(broken, SteadyClock().now()))
            this->onCrash(broken, known->second);
        return;
    }
    const auto found = this->watched.find(broken.process);
    const bool isNew = found == this->watched.end();
    if (isNew ? this->watched.size() >= this->limits.maxWatchedProcesses
              : found->second.requests.size() >= this->limits.maxPendingRequests)
        return;
    const TimePoint now = SteadyClock().now();
    Watched &watched = this->watched[broken.process];
    watched.requests.emplace_back(now, broken);
    watched.lastBrokeAt = now;
    if (isNew || watched.connects >= this->limits.maxConnects) {
        watched.connects = 0;
        watched.nextConnectAt = now + this->limits.connectDelay;
    }
    if (!isNew)
        return;
    watched.endpoint = broken.endpoint;
    watched.service = broken.service;
    watched.neighbours = this->registeredAt(broken.endpoint);
    boost::asio::co_spawn(this->loop, this->watch(broken.process), boost::asio::detached);
}

void CrashDetector::recordEnd(const UpstreamProcess &process, ProcessEnd end)
{
    const auto found = this->watched.find(process);
    if (found == this->watched.end())
        return;
    const Watched watched = std::move(found->second);
    this->watched.erase(found);
    this->ended.emplace_back(process, end);
    if (this->ended.size() > this->limits.maxEndedProcesses)
        this->ended.pop_front();
    if (this->onEnd)
        this->onEnd(watched.service, process);
    const TimePoint oldest = SteadyClock().now() - this->limits.confirmationTime;
    for (const auto &[brokeAt, broken] : watched.requests) {
        if (brokeAt >= oldest && this->onCrash && !this->wasBrokenByCut(broken, brokeAt))
            this->onCrash(broken, end);
    }
}

bool CrashDetector::hasEnded(const UpstreamProcess &process) const
{
    return std::any_of(this->ended.begin(), this->ended.end(),
                       [&process](const auto &item) { return item.first == process; });
}

/// Connects and looks at the registrations until the process is known to have ended or to leave, or
/// the time for it is over.
upstream::Awaitable<void> CrashDetector::watch(UpstreamProcess process)
{
    while (true) {
        auto found = this->watched.find(process);
        if (found == this->watched.end())
            co_return;
        TimePoint next = SteadyClock().now() + this->limits.lookInterval;
        if (found->second.connects < this->limits.maxConnects)
            next = std::min(next, found->second.nextConnectAt);
        co_await this->timer.wait(next);
        found = this->watched.find(process);
        if (found == this->watched.end())
            co_return;
        const TimePoint now = SteadyClock().now();
        std::optional<ProcessEnd> end = this->findEnd(process, found->second);
        if (!end && found->second.connects < this->limits.maxConnects
            && found->second.nextConnectAt <= now) {
            Duration delay = this->limits.connectDelay;
            for (int i = 0; i <= found->second.connects; ++i)
                delay *= this->limits.connectDelayFactor;
            found->second.nextConnectAt = now + delay;
            ++found->second.connects;
            const bool isRefused = co_await this->isRefused(found->second.endpoint);
            found = this->watched.find(process);
            if (found == this->watched.end())
                co_return;
            if (isRefused)
                end = ProcessEnd::Refused;
        }
        if (end && this->isUndecided && this->isUndecided(found->second.service)) {
            end.reset();
            found->second.connects = std::min(found->second.connects, this->limits.maxConnects - 1);
            found->second.nextConnectAt = now + this->limits.lookInterval;
        }
        const bool isOver = now >= found->second.lastBrokeAt + this->limits.confirmationTime;
        if (end && !this->isLeaving(process)) {
            this->recordEnd(process, *end);
            co_return;
        }
        if (!isOver && !this->isLeaving(process))
            continue;
        const Watched given = std::move(found->second);
        this->watched.erase(found);
        for (const auto &[brokeAt, broken] : given.requests) {
            if (this->onAlive)
                this->onAlive(broken);
        }
        co_return;
    }
}

upstream::Awaitable<bool> CrashDetector::isRefused(Endpoint endpoint)
{
    const upstream::HttpStreamPointer stream = this->pool.makeStream();
    const TimePoint deadline = SteadyClock().now() + this->pool.poolLimits().connectTimeout;
    const upstream::StreamStatus status = co_await this->pool.connect(*stream, endpoint, deadline);
    stream->close();
    co_return status == upstream::StreamStatus::Refused;
}

std::set<UpstreamProcess> CrashDetector::registeredAt(const Endpoint &endpoint) const
{
    std::set<UpstreamProcess> processes;
    for (const auto &[id, entry] : this->table.entries()) {
        if (entry.registered.endpoint == endpoint)
            processes.insert(entry.process());
    }
    return processes;
}

/// Returns what the registrations tell about the end of a process.
std::optional<ProcessEnd> CrashDetector::findEnd(const UpstreamProcess &process,
                                                 const Watched &watched) const
{
    const UpstreamTable::Entry *entry = this->table.find(process.upstream);
    if (entry == nullptr)
        return ProcessEnd::Removed;
    if (entry->process() != process)
        return ProcessEnd::Replaced;
    const std::set<UpstreamProcess> registered = this->registeredAt(watched.endpoint);
    const bool hasNew = std::any_of(registered.begin(), registered.end(), [&](const auto &other) {
        return other.upstream != process.upstream && !watched.neighbours.contains(other);
    });
    return hasNew ? std::optional(ProcessEnd::Replaced) : std::nullopt;
}

bool CrashDetector::isLeaving(const UpstreamProcess &process) const
{
    const UpstreamTable::Entry *entry = this->table.find(process.upstream);
    return entry != nullptr && entry->process() == process && entry->isLeaving();
}

} // namespace bamboochute::gateway
