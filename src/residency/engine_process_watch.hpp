/// @file
/// @brief Tells whether the process that an engine's registration names still answers at its
/// address.
#pragma once

#include "core/clock.hpp"
#include "gateway/upstream_table.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace bamboochute::residency {

/// @brief What reports and answers to orders have shown of the process that one engine's
/// registration names.
///
/// An engine that crashed may be back at the same address, under another id, before its former
/// registration goes away. What answers there then is not the engine that is registered.
class EngineProcessWatch
{
public:
    /// Time for which a report of a later process counts. It may be the registered engine after a
    /// restart that can't register while the store is away; an order tells.
    static constexpr Duration reportDoubt = std::chrono::seconds(4);

    /// @brief Evaluates the start of the process that answered a report request.
    /// @param registered registration that is known when the report arrives
    /// @param reportedStart start in the report, in milliseconds since 1970; zero if unknown
    /// @param now arrival of the report
    void recordReport(const gateway::RegisteredUpstream &registered, std::uint64_t reportedStart,
                      TimePoint now);

    /// @brief Records that another process answered an order.
    /// @param registered registration that the order was sent to
    void recordOtherProcess(const gateway::RegisteredUpstream &registered);

    /// @brief Whether the process that a registration names is taken to be gone.
    ///
    /// It is until the registration shows a later start. If starts are unknown, a registration that
    /// was renewed since counts as that of a process that runs.
    bool isReplaced(const gateway::RegisteredUpstream &registered, TimePoint now) const;

    auto operator<=>(const EngineProcessWatch &) const = default;

private:
    /// The process of a registration.
    struct RegisteredProcess
    {
        std::uint64_t startedAt = 0;
        std::uint64_t heartbeat = 0;
        auto operator<=>(const RegisteredProcess &) const = default;

        /// Whether it is the same process as an earlier one, as far as that is known.
        bool isStill(const RegisteredProcess &earlier) const;
    };
    /// A process in whose place a later one reported.
    struct Doubt
    {
        RegisteredProcess process;
        TimePoint since{};
        auto operator<=>(const Doubt &) const = default;
    };

    static RegisteredProcess processOf(const gateway::RegisteredUpstream &registered);

    /// Process in whose place another one answered an order.
    std::optional<RegisteredProcess> gone;
    std::optional<Doubt> doubt;
};

} // namespace bamboochute::residency
