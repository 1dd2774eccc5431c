#include "fakes/weight_store.hpp"

#include "fakes/pause.hpp"

#include <algorithm>
#include <deque>

#include <nlohmann/json.hpp>

namespace bamboochute::fakes {

namespace {

using upstream::Awaitable;

constexpr int statusNotFound = 404;
constexpr Duration rateWindow = std::chrono::seconds(1);

} // namespace

struct FakeWeightStore::Implementation
{
    Implementation(upstream::asio::io_context &context, WeightStoreSettings settings)
        : context(context)
        , settings(settings)
        , server(context, [this](FakeCall &call) { return this->handle(call); })
    {}

    Awaitable<void> handle(FakeCall &call)
    {
        const std::string_view target = call.request.message.target;
        if (target == "/weights?kind=model")
            co_await this->transferModel();
        else if (target == "/weights?kind=adapter")
            co_await this->transferAdapter();
        else if (target != "/fake/stats")
            co_return co_await this->answerNotFound(call);
        co_await call.writer.write(jsonAnswer(200, this->formatStats()));
    }

    Awaitable<void> answerNotFound(FakeCall &call)
    {
        co_await call.writer.write(jsonAnswer(statusNotFound, R"({"error":"unknown path"})"));
    }

    Awaitable<void> transferModel()
    {
        const TimePoint now = SteadyClock().now();
        while (!this->recentLoadStarts.empty()
               && this->recentLoadStarts.front() + rateWindow <= now)
            this->recentLoadStarts.pop_front();
        this->recentLoadStarts.push_back(now);
        ++this->counters.loads;
        ++this->counters.activeLoads;
        this->counters.maxActiveLoads
                = std::max(this->counters.maxActiveLoads, this->counters.activeLoads);
        const double rateSlowdown = static_cast<double>(this->recentLoadStarts.size())
                                    / std::max(1.0, this->settings.limits.loadsPerSecond);
        const double concurrencySlowdown = static_cast<double>(this->counters.activeLoads)
                                           / std::max(1U, this->settings.limits.loadsAtOnce);
        const double slowdown = std::max({1.0, rateSlowdown, concurrencySlowdown});
        if (slowdown > 1.0)
            ++this->counters.loadsOverLimit;
        co_await this->transfer(this->settings.loadTime, slowdown);
        --this->counters.activeLoads;
    }

    Awaitable<void> transferAdapter()
    {
        ++this->counters.adapters;
        ++this->counters.activeAdapters;
        this->counters.maxActiveAdapters
                = std::max(this->counters.maxActiveAdapters, this->counters.activeAdapters);
        const double slowdown
                = std::max(1.0, static_cast<double>(this->counters.activeAdapters)
                                        / std::max(1U, this->settings.limits.adaptersInTransit));
        co_await this->transfer(this->settings.adapterTime, slowdown);
        --this->counters.activeAdapters;
    }

    Awaitable<void> transfer(Duration fullSpeedDuration, double slowdown)
    {
        const double micros = static_cast<double>(fullSpeedDuration.count()) * slowdown;
        co_await pauseFor(this->context, Duration(static_cast<std::int64_t>(micros)));
    }

    std::string formatStats() const
    {
        return nlohmann::ordered_json{{"loads", this->counters.loads},
                                      {"adapters", this->counters.adapters},
                                      {"loads_now", this->counters.activeLoads},
                                      {"adapters_now", this->counters.activeAdapters},
                                      {"most_loads_at_once", this->counters.maxActiveLoads},
                                      {"most_adapters_at_once", this->counters.maxActiveAdapters},
                                      {"over_limit", this->counters.loadsOverLimit}}
                .dump();
    }

    upstream::asio::io_context &context;
    WeightStoreSettings settings;
    WeightStoreStats counters;
    std::deque<TimePoint> recentLoadStarts;
    FakeHttpServer server;
};

FakeWeightStore::FakeWeightStore(upstream::asio::io_context &context, WeightStoreSettings settings)
    : implementation(std::make_shared<Implementation>(context, settings))
{}

FakeWeightStore::~FakeWeightStore() = default;

Result<Endpoint> FakeWeightStore::listen(const Endpoint &endpoint)
{
    return this->implementation->server.listen(endpoint);
}

void FakeWeightStore::close()
{
    this->implementation->server.close();
}

const WeightStoreStats &FakeWeightStore::stats() const
{
    return this->implementation->counters;
}

} // namespace bamboochute::fakes
