#include "gateway/crash_detector.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboochute::gateway {

CrashDetector::CrashDetector(boost::asio::io_context &loop, upstream::ConnectionPool &pool,
                             CrashDetectorLimits limits)
    : loop(loop)
    , pool(pool)
    , limits(limits)
    , timer(loop)
{}

void CrashDetector::check(const BrokenRequest &broken)
{
    if (this->hasEnded(broken.process)) {
        this->report(broken);
        return;
    }
    std::vector<BrokenRequest> &waiting = this->pending[broken.process];
    if (waiting.size() >= this->limits.maxPendingRequests)
        return;
    waiting.push_back(broken);
    if (waiting.size() == 1)
        boost::asio::co_spawn(this->loop, this->probe(broken.process, broken.endpoint),
                              boost::asio::detached);
}

upstream::Awaitable<void> CrashDetector::probe(UpstreamProcess process, Endpoint endpoint)
{
    co_await this->timer.wait(SteadyClock().now() + this->limits.connectDelay);
    const upstream::HttpStreamPointer stream = this->pool.makeStream();
    const TimePoint deadline = SteadyClock().now() + this->pool.poolLimits().connectTimeout;
    const upstream::StreamStatus status = co_await this->pool.connect(*stream, endpoint, deadline);
    stream->close();
    const auto found = this->pending.find(process);
    const std::vector<BrokenRequest> broken = std::move(found->second);
    this->pending.erase(found);
    if (status != upstream::StreamStatus::Refused) {
        for (const BrokenRequest &request : broken) {
            if (this->onAlive)
                this->onAlive(request);
        }
        co_return;
    }
    this->ended.push_back(process);
    if (this->ended.size() > this->limits.maxEndedProcesses)
        this->ended.pop_front();
    for (const BrokenRequest &request : broken)
        this->report(request);
}

bool CrashDetector::hasEnded(const UpstreamProcess &process) const
{
    return std::find(this->ended.begin(), this->ended.end(), process) != this->ended.end();
}

void CrashDetector::report(const BrokenRequest &broken) const
{
    if (this->onCrash)
        this->onCrash(broken);
}

} // namespace bamboochute::gateway
