/// @file
/// @brief Actions that a pool controller asks its caller to perform.
#pragma once

#include "core/error.hpp"
#include "decision/values.hpp"
#include "platform/key_value.hpp"

#include <variant>
#include <vector>

namespace bamboochute::decision {

/// @brief Submit a transaction; its result returns as TransactionFinished with the same tag.
struct SubmitTransaction
{
    platform::Purpose purpose = platform::Purpose::Ledger;
    platform::Transaction transaction;
    std::uint64_t tag = 0;
};

/// @brief Send an order once; its result returns as OrderFinished.
struct SendOrder
{
    Order order;
};

/// @brief Publish the full list of targets that one upstream serves now; the higher
/// (fence, sequence) is newer.
struct PublishPlacements
{
    PoolId pool;
    Fence fence;
    std::uint64_t sequence = 0;
    UpstreamId upstream;
    std::vector<Target> loaded;
};

/// @brief Refuse the requests that wait for the target and whose deadline is before the given time.
struct RefuseDemand
{
    PoolId pool;
    Target target;
    Error error;
    TimePoint deadlineBefore;
};

/// @brief Announce to all instances that this one owns the pool, so that they report demand to it.
struct AnnounceOwner
{
    PoolId pool;
    InstanceProcess owner;
    Fence fence;
};

/// @brief Announce to all instances that this one gave the pool up; they receive it as
/// OwnershipGivenUp.
struct AnnounceOwnershipGivenUp
{
    PoolId pool;
    InstanceProcess sender;
    Fence fence;
    /// Values of OrderId::number.
    std::vector<std::uint64_t> unresolvedOrders;
};

using Action = std::variant<SubmitTransaction, SendOrder, PublishPlacements, RefuseDemand,
                            AnnounceOwner, AnnounceOwnershipGivenUp>;
using Actions = std::vector<Action>;

} // namespace bamboochute::decision
