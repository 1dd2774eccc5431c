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

struct FakeWeightStore::Parts
{
    Parts(upstream::asio::io_context &context, WeightStoreSettings settings)
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
            co_return co_await this->refuse(call);
        co_await call.writer.write(jsonAnswer(200, this->statsBody()));
    }

    Awaitable<void> refuse(FakeCall &call)
    {
        co_await call.writer.write(jsonAnswer(statusNotFound, R"({"error":"unknown path"})"));
    }

    Awaitable<void> transferModel()
    {
        const TimePoint now = SteadyClock().now();
        while (!this->begun.empty() && this->begun.front() + rateWindow <= now)
            this->begun.pop_front();
        this->begun.push_back(now);
        ++this->counted.loads;
        ++this->counted.loadsNow;
        this->counted.mostLoadsAtOnce
                = std::max(this->counted.mostLoadsAtOnce, this->counted.loadsNow);
        const double byRate = static_cast<double>(this->begun.size())
                              / std::max(1.0, this->settings.limits.loadsPerSecond);
        const double byNumber = static_cast<double>(this->counted.loadsNow)
                                / std::max(1U, this->settings.limits.loadsAtOnce);
        const double slowdown = std::max({1.0, byRate, byNumber});
        if (slowdown > 1.0)
            ++this->counted.overLimit;
        co_await this->transfer(this->settings.loadTime, slowdown);
        --this->counted.loadsNow;
    }

    Awaitable<void> transferAdapter()
    {
        ++this->counted.adapters;
        ++this->counted.adaptersNow;
        this->counted.mostAdaptersAtOnce
                = std::max(this->counted.mostAdaptersAtOnce, this->counted.adaptersNow);
        const double slowdown
                = std::max(1.0, static_cast<double>(this->counted.adaptersNow)
                                        / std::max(1U, this->settings.limits.adaptersInTransit));
        co_await this->transfer(this->settings.adapterTime, slowdown);
        --this->counted.adaptersNow;
    }

    Awaitable<void> transfer(Duration time, double slowdown)
    {
        const double micros = static_cast<double>(time.count()) * slowdown;
        co_await pauseFor(this->context, Duration(static_cast<std::int64_t>(micros)));
    }

    std::string statsBody() const
    {
        return nlohmann::ordered_json{{"loads", this->counted.loads},
                                      {"adapters", this->counted.adapters},
                                      {"loads_now", this->counted.loadsNow},
                                      {"adapters_now", this->counted.adaptersNow},
                                      {"most_loads_at_once", this->counted.mostLoadsAtOnce},
                                      {"most_adapters_at_once", this->counted.mostAdaptersAtOnce},
                                      {"over_limit", this->counted.overLimit}}
                .dump();
    }

    upstream::asio::io_context &context;
    WeightStoreSettings settings;
    WeightStoreStats counted;
    std::deque<TimePoint> begun;
    FakeHttpServer server;
};

FakeWeightStore::FakeWeightStore(upstream::asio::io_context &context, WeightStoreSettings settings)
    : parts(std::make_shared<Parts>(context, settings))
{}

FakeWeightStore::~FakeWeightStore() = default;

Result<Endpoint> FakeWeightStore::listen(const Endpoint &endpoint)
{
    return this->parts->server.listen(endpoint);
}

void FakeWeightStore::close()
{
    this->parts->server.close();
}

const WeightStoreStats &FakeWeightStore::stats() const
{
    return this->parts->counted;
}

} // namespace bamboochute::fakes
