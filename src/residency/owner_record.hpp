/// @file
/// @brief The record of the placement owner in the platform's store.
#pragma once

#include "core/configuration.hpp"
#include "core/ids.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace bamboochute::residency {

/// @brief The owner's record in the store.
struct OwnerRecord
{
    InstanceId instance;
    /// Address at which it receives datagrams.
    Endpoint endpoint;
    /// Random number that distinguishes the attempts to become the owner.
    std::uint64_t nonce = 0;
    /// The ownership's fencing number is the revision of its record, or this if it is higher:
    /// revisions fall when the store comes back from a copy.
    Fence minFence;
    /// Era of the store in which it was written; zero in records of earlier releases, and where the
    /// store names none.
    std::uint64_t storeEra = 0;
    /// Whether it answers the notices of candidates; instances of earlier releases don't.
    bool answersCandidates = false;
    /// Instances without whose consent the owner does not go on after its lease has ended; it needs
    /// that of others as well. Empty until all that were there at its begin can have reported, and
    /// once it has given up: then it stops with its lease.
    std::vector<InstanceId> consenters = {};
    auto operator<=>(const OwnerRecord &) const = default;

    /// @brief Whether the owner may go on without the store after its lease has ended.
    bool mayOutliveLease() const noexcept { return !this->consenters.empty(); }

    /// @brief Fencing number of the ownership.
    /// @param revision revision of the record in the store
    Fence fenceAt(std::uint64_t revision) const
    {
        return std::max(this->minFence, Fence(revision));
    }
};

/// @brief The owner's record as it was read from the store, with the fencing number of its
/// ownership.
struct ObservedOwner
{
    OwnerRecord record;
    Fence fence;
    /// Revision of the record in the store.
    std::uint64_t revision = 0;
    auto operator<=>(const ObservedOwner &) const = default;
};

} // namespace bamboochute::residency
