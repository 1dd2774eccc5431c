/// @file
/// @brief State of a fake engine: placements, fencing number and counters.
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

/// @brief Vendor, capacity, speed and faults of a fake engine.
struct EngineSettings
{
    Vendor vendor = Vendor::Araucaria;
    Fencing fencing = Fencing::Refuses;
    /// Bearer credential that orders must carry; empty accepts orders without one.
    std::string orderCredential;
    Bytes memory{80ULL << 30};
    /// Tokens per second of one request; 0 generates without a pause.
    double tokensPerSecond = 0;
    std::uint32_t tokensPerAnswer = 16;
    /// Number of tokens sent in one write of a stream.
    std::uint32_t tokensPerWrite = 1;
    /// Requests that are reported as running; those beyond are reported as waiting.
    std::uint32_t maxConcurrent = 32;
    /// Duration of a model's load, added to the transfer from the weight store if there is one.
    Duration loadTime{};
    /// Same for an adapter.
    Duration adapterLoadTime{};
    /// Weight store that loads fetch from; when not set, loads only take the time given above.
    std::optional<Endpoint> store;
    /// Delay after which a change of state may show in reports.
    Duration reportLag{};
    /// Share of completion requests, from 0 to 1, that are answered with status 500.
    double failShare = 0;
    /// The connection of a stream closes after this many tokens; 0 means never.
    std::uint32_t breakAfterTokens = 0;
    std::uint64_t seed = 1;
};

/// @brief Counters since the start of the engine.
struct EngineStats
{
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    /// Load orders for a target that was already present.
    std::uint64_t duplicateLoads = 0;
    /// Load orders that were refused because they would have exceeded the engine's memory.
    std::uint64_t overcommitted = 0;
    /// Orders that were refused because their fencing number was too low.
    std::uint64_t staleOrders = 0;
    std::uint64_t requests = 0;
    /// Requests that were stopped by a cancel call or because their connection closed.
    std::uint64_t cancelled = 0;
    /// Requests that continued a broken stream.
    std::uint64_t resumed = 0;
    std::uint64_t failed = 0;
    /// Loads whose request to the weight store failed.
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

/// @brief State of a fake engine; does no I/O and takes the time as a parameter.
class EngineState
{
public:
    explicit EngineState(EngineSettings settings);

    /// @brief Checks an order and carries it out or begins it.
    /// @return the outcome, or nothing when the caller must call finishOrder() after the load or
    /// unload
    std::optional<upstream::OrderOutcome> beginOrder(const upstream::Order &order);

    /// @brief Whether an order asks to load a target whose load is in progress.
    bool isAlreadyLoading(const upstream::Order &order) const;

    /// @brief Completes an order for which beginOrder() returned nothing.
    upstream::OrderOutcome finishOrder(const upstream::Order &order);

    /// @brief Records the current report and returns the one that is visible after the report lag.
    ///
    /// Reports are recorded only by calls of this function.
    upstream::EngineReport report(TimePoint now);

    /// @brief Whether a request can run.
    /// @param model the request's model: MODEL, ADAPTER or MODEL:ADAPTER
    bool serves(const std::string &model) const;

    /// @brief Marks a target as loaded without an order, for set-up; memory is not checked.
    void preload(const Target &target, Bytes memory);

    const EngineSettings &settings() const noexcept { return this->engineSettings; }

    EngineStats stats;
    /// Completion requests in progress.
    std::uint32_t running = 0;

private:
    upstream::OrderOutcome makeDone() const;
    std::optional<upstream::OrderOutcome> beginLoad(const upstream::Order &order);
    Bytes usedMemory() const;
    upstream::EngineReport currentReport() const;
    std::vector<upstream::PlacementReport> inventory() const;

    struct TimedReport
    {
        TimePoint time;
        upstream::EngineReport report;
    };

    EngineSettings engineSettings;
    std::map<Target, EnginePlacement> placements;
    Fence fence;
    EngineRole role = EngineRole::Mixed;
    std::deque<TimedReport> reportHistory;
};

} // namespace bamboochute::fakes
