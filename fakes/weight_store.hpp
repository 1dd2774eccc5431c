/// @file
/// @brief The stand-in of the rate-limited weight store.
#pragma once

#include "core/configuration.hpp"
#include "fakes/http_server.hpp"

#include <memory>

namespace bamboochute::fakes {

/// @brief How a stand-in weight store behaves.
struct WeightStoreSettings
{
    StoreLimits limits;
    /// Time of one model's transfer while the limits are kept.
    Duration loadTime = std::chrono::seconds(4);
    /// Time of one adapter's transfer while the limits are kept.
    Duration adapterTime = std::chrono::milliseconds(5);
};

/// @brief What was counted since the start.
struct WeightStoreStats
{
    std::uint64_t loads = 0;
    std::uint64_t adapters = 0;
    std::uint32_t loadsNow = 0;
    std::uint32_t adaptersNow = 0;
    std::uint32_t mostLoadsAtOnce = 0;
    std::uint32_t mostAdaptersAtOnce = 0;
    /// Loads that began while the rate or the number at once was exceeded.
    std::uint64_t overLimit = 0;
    auto operator<=>(const WeightStoreStats &) const = default;
};

/// @brief Serves GET /weights?kind=model and kind=adapter; the answer comes when the transfer ends.
///
/// Beyond its limits the store gets slower in proportion instead of refusing.
class FakeWeightStore
{
public:
    FakeWeightStore(upstream::asio::io_context &context, WeightStoreSettings settings);
    ~FakeWeightStore();
    FakeWeightStore(const FakeWeightStore &) = delete;
    FakeWeightStore &operator=(const FakeWeightStore &) = delete;

    Result<Endpoint> listen(const Endpoint &endpoint);
    void close();

    /// @brief Counters; on the loop's thread only.
    const WeightStoreStats &stats() const;

private:
    struct Parts;
    std::shared_ptr<Parts> parts;
};

} // namespace bamboochute::fakes
