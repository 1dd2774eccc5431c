/// @file
/// @brief Keeps one owner of the placement by a lease in the platform's store.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/random.hpp"
#include "gateway/change_signal.hpp"
#include "residency/lease.hpp"
#include "upstream/net.hpp"

#include <functional>
#include <optional>

namespace bamboochute::residency {

/// @brief The owner as its record in the store names it.
struct OwnerRecord
{
    InstanceId instance;
    /// Where it takes datagrams.
    Endpoint endpoint;
    /// Distinguishes every attempt to become the owner.
    std::uint64_t nonce = 0;
    auto operator<=>(const OwnerRecord &) const = default;
};

/// @brief The record as it was read, with the term that it began.
struct ObservedOwner
{
    OwnerRecord record;
    Fence fence;
    auto operator<=>(const ObservedOwner &) const = default;
};

/// @brief A term that began.
struct OwnershipGrant
{
    Fence fence;
    std::uint64_t lease = 0;
    /// When the lease was asked for.
    TimePoint sentAt{};
    /// Instance that held the term before; empty when there was none.
    InstanceId formerHolder;
};

/// @brief Calls to the store that the election needs.
struct OwnershipPort
{
    template<typename T>
    using Awaitable = upstream::Awaitable<T>;

    /// Writes the record unless there is one; replaces it when it is the one that is named.
    /// KeyValueConflict: another one is the owner.
    std::function<Awaitable<Result<OwnershipGrant>>(OwnerRecord mine, Duration timeToLive,
                                                    std::optional<Fence> replaces)>
            acquire;
    /// NotOwner: the lease has ended.
    std::function<Awaitable<Result<bool>>(std::uint64_t lease)> renew;
    std::function<Awaitable<void>(std::uint64_t lease)> release;
};

/// @brief Settings of the election.
struct ElectionSettings
{
    OwnerRecord self;
    LeaseTimes times;
    /// Engines refuse lower fencing numbers, so a holder that can't reach the store may go on.
    bool areEnginesFenced = true;
    /// How long it goes on without the store.
    Duration maxTimeWithoutStore = std::chrono::seconds(30);
    /// Delay before an empty place is taken; shorter at instances that can do more.
    Duration campaignDelay{};
    /// Longest random delay in addition.
    Duration maxCampaignJitter = std::chrono::milliseconds(250);
    std::uint64_t seed = 1;
};

/// @brief Stands for election while there is no owner; one thread.
class OwnerElection
{
public:
    OwnerElection(boost::asio::io_context &loop, ElectionSettings settings, OwnershipPort port);

    /// @brief Starts to stand for election.
    void start();

    /// @brief Gives the term up, if there is one, and stands no more.
    void resign();

    /// @brief Takes the record as it stands in the store; nothing when there is none.
    void handleOwnerRecord(std::optional<ObservedOwner> owner);

    /// @brief A message of an owner has come; it may act for a while yet.
    void handleOwnerMessage(Fence fence);

    /// @brief An engine knows a higher fencing number.
    void handleFencedOrder();

    bool maySendOrders() const;

    /// @brief Whether this instance holds the term, even if it may not order yet.
    bool isOwner() const;
    Fence fence() const noexcept { return this->lease.fence(); }

    /// @brief The owner as far as is known; this instance when it holds the term.
    const std::optional<ObservedOwner> &owner() const noexcept { return this->observedOwner; }

    /// @brief Called when the owner, or this instance's term, changed.
    std::function<void()> onChange;

private:
    upstream::Awaitable<void> run();
    upstream::Awaitable<void> renew();
    upstream::Awaitable<void> campaign();
    bool mayCampaign() const;
    void dropOwnership(std::string_view reason);

    boost::asio::io_context &loop;
    ElectionSettings settings;
    OwnershipPort port;
    gateway::ChangeSignal change;
    Random random;
    Lease lease;
    std::uint64_t leaseId = 0;
    std::optional<ObservedOwner> observedOwner;
    bool isRecordKnown = false;
    bool isStoreUnreachable = false;
    bool isResigned = false;
    TimePoint lastStoreContact{};
    /// When another owner was last heard, or when this instance began to listen.
    TimePoint lastHeard{};
};

} // namespace bamboochute::residency
