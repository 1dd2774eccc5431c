#include "failing_upstream.hpp"

#include "admission/retry_policy.hpp"
#include "admission/router.hpp"
#include "virtual_time.hpp"

#include <memory>
#include <string>

namespace bamboochute::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t instanceCount = 12;
constexpr std::uint32_t upstreamCount = 12;
constexpr std::uint32_t slotsPerUpstream = 64;
constexpr double failureChance = 0.5;
constexpr Duration requestDuration = 120s;
constexpr Duration deadline = 30s;
constexpr double requestsPerSecond = 400.0;
constexpr double meanServiceSeconds = 0.5;
const CallerClassId callerClass("guest");

struct Instance
{
    explicit Instance(std::uint64_t seed)
        : ejector(metrics)
        , router(DataCentreId("quito-norte"), seed)
        , retries(metrics, seed)
    {}

    Metrics metrics;
    admission::Ejector ejector;
    admission::Router router;
    admission::RetryPolicy retries;
};

struct Call
{
    Instance *instance;
    TimePoint deadline;
    std::uint32_t attempts = 0;
    std::vector<UpstreamId> tried;
};

class FailingUpstreamSimulation
{
public:
    explicit FailingUpstreamSimulation(std::uint64_t seed)
        : random(seed)
    {
        RoutingTable table;
        for (std::uint32_t i = 0; i < upstreamCount; ++i) {
            const UpstreamId id("w" + std::to_string(i));
            UpstreamState &state = table.upstreams[id];
            state.spec.id = id;
            state.spec.dataCentre = DataCentreId("quito-norte");
            state.spec.maxConcurrent = slotsPerUpstream;
            this->candidates.push_back(id);
        }
        const auto shared = std::make_shared<const RoutingTable>(table);
        for (std::uint32_t i = 0; i < instanceCount; ++i) {
            this->instances.push_back(std::make_unique<Instance>(seed * instanceCount + i));
            this->instances.back()->router.update(shared);
            this->instances.back()->router.setShare(i, instanceCount);
            this->instances.back()->ejector.update(table);
        }
    }

    FailingUpstreamResult run()
    {
        this->arrivalsEnd = this->time.now() + requestDuration;
        this->scheduleNextRequest();
        this->time.runUntil(this->arrivalsEnd + deadline);
        return this->result;
    }

private:
    Duration randomDuration(double meanSeconds)
    {
        const std::chrono::duration<double> seconds(this->random.exponential(meanSeconds));
        return std::chrono::duration_cast<Duration>(seconds);
    }

    void scheduleNextRequest()
    {
        this->time.after(this->randomDuration(1.0 / requestsPerSecond), [this] {
            if (this->time.now() >= this->arrivalsEnd)
                return;
            ++this->result.requests;
            Instance &instance = *this->instances[this->random.below(instanceCount)];
            this->dispatch(
                    std::make_shared<Call>(Call{&instance, this->time.now() + deadline, 0, {}}));
            this->scheduleNextRequest();
        });
    }

    void dispatch(const std::shared_ptr<Call> &call)
    {
        Instance &instance = *call->instance;
        const admission::RouteQuery query{this->candidates, 0, 0, 0, call->tried};
        const auto upstream = instance.router.pick(query, instance.ejector, this->time.now());
        if (!upstream) {
            ++this->result.callerErrors;
            return;
        }
        if (call->attempts == 0)
            instance.retries.recordFirstAttempt(callerClass, *upstream);
        this->send(call, *upstream);
    }

    void send(const std::shared_ptr<Call> &call, const UpstreamId &upstream)
    {
        Instance &instance = *call->instance;
        ++call->attempts;
        ++this->result.attempts;
        call->tried.push_back(upstream);
        instance.router.recordStart(upstream, this->time.now());
        instance.ejector.recordStart(upstream, this->time.now());
        const bool isFailing
                = upstream == this->candidates[0] && this->random.chance(failureChance);
        const Duration latency = this->randomDuration(meanServiceSeconds);
        this->time.after(latency, [=, this] { this->finish(call, upstream, latency, isFailing); });
    }

    void finish(const std::shared_ptr<Call> &call, const UpstreamId &upstream, Duration latency,
                bool isFailing)
    {
        Instance &instance = *call->instance;
        instance.router.recordFinish(upstream);
        if (!isFailing) {
            instance.ejector.recordSuccess(upstream, latency, this->time.now());
            return;
        }
        instance.ejector.recordFailure(upstream, this->time.now());
        this->retry(call);
    }

    void retry(const std::shared_ptr<Call> &call)
    {
        Instance &instance = *call->instance;
        const admission::RouteQuery query{this->candidates, 0, 0, 0, call->tried};
        const auto nextUpstream = instance.router.pick(query, instance.ejector, this->time.now());
        if (!nextUpstream) {
            ++this->result.callerErrors;
            return;
        }
        const admission::FailedAttempt failed{admission::FailureReason::ServerError,
                                              callerClass,
                                              *nextUpstream,
                                              true,
                                              false,
                                              call->attempts,
                                              call->deadline,
                                              500ms};
        const auto decision = instance.retries.decide(failed, this->time.now());
        if (const auto *retry = std::get_if<admission::RetryAfterDelay>(&decision)) {
            this->time.after(retry->delay, [=, this] { this->send(call, *nextUpstream); });
            return;
        }
        ++this->result.retriesRefused;
        ++this->result.callerErrors;
    }

    Random random;
    VirtualTime time;
    TimePoint arrivalsEnd{};
    std::vector<UpstreamId> candidates;
    std::vector<std::unique_ptr<Instance>> instances;
    FailingUpstreamResult result;
};

} // namespace

FailingUpstreamResult runFailingUpstream(std::uint64_t seed)
{
    return FailingUpstreamSimulation(seed).run();
}

} // namespace bamboochute::bench
