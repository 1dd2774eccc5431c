/// @file
/// @brief Decides for one pool what is loaded where; a state machine without I/O.
#pragma once

#include "decision/actions.hpp"
#include "decision/events.hpp"
#include "decision/policy.hpp"

#include <map>
#include <memory>
#include <string>

namespace bamboochute::decision {

class Ledger;

/// @brief Which pool, and which process decides.
struct PoolControllerSettings
{
    PoolId pool;
    InstanceProcess self;
    Policy policy;
};

/// @brief One pool's decisions at one instance, whether or not it owns the pool now.
///
/// Not thread-safe. Every event gives the actions that it causes; an action's end comes back as an
/// event. Time is the parameter of each event and never goes back.
class PoolController
{
public:
    explicit PoolController(PoolControllerSettings settings);
    ~PoolController();
    PoolController(PoolController &&) noexcept;
    PoolController &operator=(PoolController &&) noexcept;

    /// @brief Takes one event in.
    /// @param event what happened
    /// @param now time at which it happened; not before that of the event before
    /// @return what is to be done, in this order
    Actions handle(const Event &event, TimePoint now);

    /// @brief Whether this process holds the pool, as far as it knows.
    bool isOwner() const noexcept;

    /// @brief The owner's record as last read or written.
    std::optional<OwnerRecord> knownOwner() const;

    /// @brief Placements and outstanding orders as this process knows them; of use at the owner.
    const Ledger &ledger() const noexcept;

    /// @brief Counters by name, such as "orders_stale" or "reports_unknown_target".
    const std::map<std::string, std::uint64_t> &counters() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace bamboochute::decision
