/// @file
/// @brief Table of members and the rules by which updates override its entries.
#pragma once

#include "core/clock.hpp"
#include "peer/datagram.hpp"
#include "peer/member.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bamboochute::peer {

/// Maximum number of members in the table, gone ones included.
constexpr std::size_t maxMembers = 4096;

/// @brief Change of one entry of the table.
struct TableChange
{
    /// Member after the change.
    Member member;
    MemberState previousState = MemberState::Alive;
    /// Whether the process was not in the table before.
    bool isNew = false;
    auto operator<=>(const TableChange &) const = default;
};

using TableChanges = std::vector<TableChange>;

/// @brief A member and this instance's own observations of it.
struct MemberEntry
{
    Member member;
    /// When a datagram of the member was last received.
    TimePoint lastReceivedAt{};
    bool hasReceived = false;
    /// When the member entered its current state.
    TimePoint stateSince{};
    /// Failed probes since the last datagram of the member.
    std::uint32_t failedProbes = 0;
    /// Port refusals since the last datagram of the member.
    std::uint32_t portRefusals = 0;
    /// Consecutive readings of the platform's list that did not contain the member.
    std::uint32_t absences = 0;
    /// Time of the first of these readings.
    TimePoint absentSince{};
    bool wasListed = false;
    /// Machine number of the member in the platform's list; zero when unknown.
    std::uint64_t launchNumber = 0;
    /// Evidence in the platform's list that the member has ended; takes effect once the member is
    /// unreachable.
    GoneEvidence listedEvidence = GoneEvidence::None;
    /// Whether the member answered while the list reported its end.
    bool isListDoubted = false;
    /// When the port last refused a datagram.
    TimePoint portRefusedAt{};
};

/// @brief Members known to an instance, and the queue of updates to forward.
class MemberTable
{
public:
    /// @param self this instance, which is never an entry
    /// @param updateTransmissions number of times that an update is forwarded
    /// @param goneRetention time after which a gone member is removed
    MemberTable(InstanceId self, std::uint32_t updateTransmissions, Duration goneRetention);

    /// @brief Whether an update overrides the known state of the same instance.
    static bool overrides(const MemberUpdate &update, const Member &known);

    /// @brief Applies an update if it overrides the known state.
    /// @param isForwarded whether a resulting change is queued for other members
    /// @return the changes; two when a later process replaces a member
    TableChanges merge(TimePoint now, const MemberUpdate &update, bool isForwarded);

    /// @brief Records that a datagram of a member was received.
    void recordContact(TimePoint now, const InstanceId &instance);

    /// @brief Sets the state of a member from this instance's own observations.
    /// @param isForwarded whether the change is queued for other members
    TableChanges setState(TimePoint now, const InstanceId &instance, MemberState state,
                          GoneEvidence evidence, bool isForwarded);

    /// @brief Takes updates to forward, those with the fewest transmissions first.
    /// @param maxCount maximum number of updates
    std::vector<MemberUpdate> takeUpdates(std::size_t maxCount);

    /// @brief Whether an update is queued that was not sent yet.
    bool hasUnsentUpdates() const;

    /// @brief Hashes of which members are reachable, unreachable and leaving; gone members are left
    /// out.
    const TableDigest &digest() const noexcept { return this->buckets; }

    /// @brief Digest that a peer with the same knowledge has: its table contains this process
    /// instead of the peer.
    TableDigest expectedPeerDigest(const Member &peer, const Member &self) const;

    /// @brief Records of one bucket whose digest differs from that of another table.
    /// @param remote digest of the other table
    /// @param offset selects the bucket and the first record, when not all fit
    /// @param maxCount maximum number of records
    std::vector<MemberUpdate> recordsOfDifferentBucket(const TableDigest &remote,
                                                       std::uint64_t offset,
                                                       std::size_t maxCount) const;

    /// @brief Removes members that have been gone for the retention time.
    void forgetExpired(TimePoint now);

    MemberEntry *find(const InstanceId &instance);
    const MemberEntry *find(const InstanceId &instance) const;

    /// @brief Member whose datagram endpoint is the given one, or nullptr.
    MemberEntry *findByEndpoint(const Endpoint &endpoint);

    std::map<InstanceId, MemberEntry> &all() { return this->entries; }
    const std::map<InstanceId, MemberEntry> &all() const { return this->entries; }

    /// @brief Members in a state, ordered by name.
    const std::set<InstanceId> &membersInState(MemberState state) const
    {
        return this->byState.at(static_cast<std::size_t>(state));
    }

    /// @brief Number that increases when a member becomes reachable or unreachable.
    std::uint64_t generation() const noexcept { return this->reachabilityChanges; }

    /// @brief Number of new members that were rejected because the table was full.
    std::uint64_t rejectedCount() const noexcept { return this->rejectedMembers; }

private:
    struct QueuedUpdate
    {
        InstanceId instance;
        std::uint32_t transmissions = 0;
    };

    void enqueueUpdate(const InstanceId &instance);
    TableChange changeMember(TimePoint now, MemberEntry &entry, const Member &to);
    std::optional<TableChange> insert(TimePoint now, const MemberUpdate &update);
    void replaceProcess(TimePoint now, MemberEntry &entry, const MemberUpdate &update,
                        TableChanges &changes);
    bool evictGoneMember();
    void erase(const InstanceId &instance);
    void addToIndexes(const Member &member);
    void removeFromIndexes(const Member &member);
    void toggleInDigest(const Member &member);

    InstanceId self;
    std::uint32_t updateTransmissions;
    Duration goneRetention;
    std::map<InstanceId, MemberEntry> entries;
    std::map<Endpoint, InstanceId> byEndpoint;
    std::array<std::set<InstanceId>, memberStateCount> byState;
    std::deque<QueuedUpdate> queuedUpdates;
    TableDigest buckets{};
    std::uint64_t reachabilityChanges = 0;
    std::uint64_t rejectedMembers = 0;
};

/// @brief Makes an update about a member.
/// @param member member to describe
/// @param withEndpoints whether to include the endpoints also when the member is not alive
MemberUpdate makeMemberUpdate(const Member &member, bool withEndpoints = false);

/// @brief Whether a member is treated as alive.
bool isReachable(MemberState state) noexcept;

} // namespace bamboochute::peer
