/// @file
/// @brief Decides which targets are loaded at which upstream of a pool; does no I/O.
#pragma once

#include "decision/actions.hpp"
#include "decision/events.hpp"
#include "decision/policy.hpp"

#include <map>
#include <memory>
#include <string>

namespace bamboochute::decision {

class Ledger;

/// @brief Settings of a pool controller.
struct PoolControllerSettings
{
    PoolId pool;
    /// This process.
    InstanceProcess self;
    Policy policy;
};

/// @brief State machine that decides for one pool at one instance; decides only while the instance
/// owns the pool.
///
/// Not thread-safe. Each event returns the actions that it causes; the result of an action returns
/// as an event. Time is passed with each event and never decreases.
class PoolController
{
public:
    explicit PoolController(PoolControllerSettings settings);
    ~PoolController();
    PoolController(PoolController &&) noexcept;
    PoolController &operator=(PoolController &&) noexcept;

    /// @brief Processes one event.
    /// @param now time of the event; not before that of the previous event
    /// @return actions to perform, in this order
    Actions handle(const Event &event, TimePoint now);

    /// @brief Whether this process owns the pool, as far as it knows.
    bool isOwner() const noexcept;

    /// @brief Returns the owner record as last read or written; empty when there was none.
    std::optional<OwnerRecord> knownOwner() const;

    /// @brief Returns the placements and outstanding orders; current only while this process
    /// owns the pool.
    const Ledger &ledger() const noexcept;

    /// @brief Returns counters by name, such as "orders_stale" or "reports_unknown_target".
    const std::map<std::string, std::uint64_t> &counters() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace bamboochute::decision
