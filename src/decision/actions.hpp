/// @file
/// @brief What a pool controller wants done.
#pragma once

#include "core/error.hpp"
#include "decision/values.hpp"
#include "platform/key_value.hpp"

#include <variant>
#include <vector>

namespace bamboochute::decision {

/// @brief Submit a transaction; its end comes back as TransactionFinished with the same tag.
struct SubmitTransaction
{
    platform::Purpose purpose = platform::Purpose::Ledger;
    platform::Transaction transaction;
    std::uint64_t tag = 0;
};

/// @brief Send an order once; its end comes back as OrderFinished.
struct SendOrder
{
    Order order;
};

/// @brief What one upstream serves now, whole; the higher (fence, sequence) is newer.
struct PublishPlacements
{
    PoolId pool;
    Fence fence;
    std::uint64_t sequence = 0;
    UpstreamId upstream;
    std::vector<Target> loaded;
};

/// @brief Refuse those who wait for the target with a deadline before the given time.
struct RefuseDemand
{
    PoolId pool;
    Target target;
    Error error;
    TimePoint deadlineBefore;
};

/// @brief Tell all instances that this one owns the pool, so that demand is sent to it.
struct AnnounceOwner
{
    PoolId pool;
    InstanceProcess owner;
    Fence fence;
};

/// @brief Tell all instances that this one gave the pool up; becomes InstanceGaveUp there.
struct AnnounceOwnershipGivenUp
{
    PoolId pool;
    InstanceProcess sender;
    Fence fence;
    std::vector<std::uint64_t> unresolvedOrders;
};

using Action = std::variant<SubmitTransaction, SendOrder, PublishPlacements, RefuseDemand,
                            AnnounceOwner, AnnounceOwnershipGivenUp>;
using Actions = std::vector<Action>;

} // namespace bamboochute::decision
