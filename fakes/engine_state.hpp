/// @file
/// @brief What a stand-in engine holds: placements, fencing number and counters.
#pragma once

#include "core/configuration.hpp"
#include "core/routing_table.hpp"
#include "upstream/orders.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace bamboochute::fakes {

/// @brief How a stand-in engine behaves.
struct EngineSettings
{
    Vendor vendor = Vendor::Araucaria;
    Fencing fencing = Fencing::Refuses;
    /// Credential that orders must carry; empty when the sender is not checked.
    std::string orderCredential;
    Bytes memory{80ULL << 30};
    /// Tokens a second of one request; zero means without a pause.
    double tokensPerSecond = 0;
    std::uint32_t tokensPerAnswer = 16;
    /// Tokens that leave in one write.
    std::uint32_t tokensPerWrite = 1;
    std::uint32_t maxConcurrent = 32;
    /// Time of a load without the weight store.
    Duration loadTime{};
    Duration adapterLoadTime{};
    /// Weight store that loads wait for; nothing when loads only take loadTime.
    std::optional<Endpoint> store;
    /// Age of the state that reports show.
    Duration reportLag{};
    /// Share of completion requests that fail with a server error.
    double failShare = 0;
    /// Streams break after this many tokens; zero means never.
    std::uint32_t breakAfterTokens = 0;
    std::uint64_t seed = 1;
};

/// @brief What was counted since the start.
struct EngineStats
{
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    /// Loads of a target that was loaded or loading already.
    std::uint64_t duplicateLoads = 0;
    /// Loads that would have needed more memory than there is.
    std::uint64_t overcommitted = 0;
    std::uint64_t staleOrders = 0;
    std::uint64_t requests = 0;
    /// Requests whose work was stopped, by a cancel call or by the end of their connection.
    std::uint64_t cancelled = 0;
    std::uint64_t resumed = 0;
    std::uint64_t failed = 0;
    /// Loads for which the weight store could not be reached.
    std::uint64_t failedTransfers = 0;
    std::uint64_t tokens = 0;
    auto operator<=>(const EngineStats &) const = default;
};

/// @brief One model or adapter on the engine.
struct EnginePlacement
{
    Bytes memory;
    upstream::PlacementState state = upstream::PlacementState::Loading;
    auto operator<=>(const EnginePlacement &) const = default;
};

/// @brief State of an engine without I/O; time is a parameter.
class EngineState
{
public:
    explicit EngineState(EngineSettings settings);

    /// @brief Begins an order.
    /// @return nothing when it goes on and finishOrder() is to be called, else its outcome
    std::optional<upstream::OrderOutcome> beginOrder(const upstream::Order &order);

    /// @brief Whether the order is a load of a target that is being loaded already.
    bool isTransferring(const upstream::Order &order) const;

    /// @brief Ends an order that beginOrder() let go on.
    upstream::OrderOutcome finishOrder(const upstream::Order &order);

    /// @brief The report as it was the lag ago.
    upstream::EngineReport report(TimePoint now);

    /// @brief Whether a request that names a model can be run.
    bool serves(const std::string &model) const;

    /// @brief Loads a target at once, for set-up.
    void preload(const Target &target, Bytes memory);

    const EngineSettings &settings() const noexcept { return this->configured; }

    EngineStats stats;
    std::uint32_t running = 0;

private:
    upstream::OrderOutcome done() const;
    std::optional<upstream::OrderOutcome> beginLoad(const upstream::Order &order);
    Bytes used() const;
    upstream::EngineReport current() const;
    std::vector<upstream::PlacementReport> inventory() const;

    struct PastReport
    {
        TimePoint time;
        upstream::EngineReport report;
    };

    EngineSettings configured;
    std::map<Target, EnginePlacement> placements;
    Fence fence;
    EngineRole role = EngineRole::Mixed;
    std::deque<PastReport> past;
};

} // namespace bamboochute::fakes
