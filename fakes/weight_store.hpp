/// @file
/// @brief Fake of the rate-limited weight store.
#pragma once

#include "core/configuration.hpp"
#include "fakes/http_server.hpp"

#include <memory>

namespace bamboochute::fakes {

/// @brief Limits and transfer times of a fake weight store.
struct WeightStoreSettings
{
    /// Limits beyond which transfers slow down.
    StoreLimits limits;
    /// Duration of a model's transfer within the limits.
    Duration loadTime = std::chrono::seconds(4);
    /// Duration of an adapter's transfer within the limits.
    Duration adapterTime = std::chrono::milliseconds(5);
};

/// @brief Counters since the start of the store.
struct WeightStoreStats
{
    std::uint64_t loads = 0;
    std::uint64_t adapters = 0;
    std::uint32_t activeLoads = 0;
    std::uint32_t activeAdapters = 0;
    std::uint32_t maxActiveLoads = 0;
    std::uint32_t maxActiveAdapters = 0;
    /// Model transfers that were slowed because the rate or the number at once was above its limit.
    std::uint64_t loadsOverLimit = 0;
    auto operator<=>(const WeightStoreStats &) const = default;
};

/// @brief Serves GET /weights?kind=model and kind=adapter, answered when the transfer ends, and
/// /fake/stats.
///
/// Above its limits the store slows new transfers in proportion to the excess and refuses none.
class FakeWeightStore
{
public:
    FakeWeightStore(upstream::asio::io_context &context, WeightStoreSettings settings);
    ~FakeWeightStore();
    FakeWeightStore(const FakeWeightStore &) = delete;
    FakeWeightStore &operator=(const FakeWeightStore &) = delete;

    /// @brief Binds the endpoint and begins to accept connections.
    /// @param endpoint address and port; port 0 takes a free port
    /// @return the bound endpoint, or SettingInvalid when the endpoint can't be bound
    Result<Endpoint> listen(const Endpoint &endpoint);
    /// @brief Stops accepting and closes all connections; only on the event loop's thread.
    void close();

    /// @brief Counters; only on the event loop's thread.
    const WeightStoreStats &stats() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace bamboochute::fakes
