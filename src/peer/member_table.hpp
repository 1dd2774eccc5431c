/// @file
/// @brief Table of members and the rules by which news overrides what is known.
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

/// Most members that are remembered, gone ones included.
constexpr std::size_t maxMembers = 4096;

/// @brief One change of the table.
struct TableChange
{
    Member member;
    MemberState previousState = MemberState::Alive;
    bool isNew = false;
    auto operator<=>(const TableChange &) const = default;
};

using TableChanges = std::vector<TableChange>;

/// @brief A member and what this instance has seen of it itself.
struct MemberEntry
{
    Member member;
    /// When a datagram of it last came in.
    TimePoint lastHeard{};
    bool wasHeard = false;
    /// When the present state began.
    TimePoint stateSince{};
    /// Probes that failed since it was last heard.
    std::uint32_t failedProbes = 0;
    /// Refusals of its port since it was last heard.
    std::uint32_t refusals = 0;
    /// Readings of the platform's list in a row that lacked it.
    std::uint32_t absences = 0;
    TimePoint absentSince{};
    bool wasListed = false;
    /// Number of the machine when it was last listed.
    std::uint64_t launch = 0;
    /// What the platform's list says of its end; counts once it does not answer.
    GoneEvidence listed = GoneEvidence::None;
    /// It answered while the list said that it had ended.
    bool isListDoubted = false;
    /// When its port last refused.
    TimePoint refusedAt{};
};

/// @brief The members that an instance knows, with the news that it passes on.
class MemberTable
{
public:
    /// @param self instance that is never an entry
    /// @param newsTransmissions times that one piece of news is passed on
    /// @param goneRetention how long a gone member is remembered
    MemberTable(InstanceId self, std::uint32_t newsTransmissions, Duration goneRetention);

    /// @brief Whether news overrides what is known of the same name.
    static bool overrides(const MemberUpdate &update, const Member &known);

    /// @brief Takes news if it overrides what is known.
    /// @param isPassedOn whether it is news that goes on to others
    TableChanges merge(TimePoint now, const MemberUpdate &update, bool isPassedOn);

    /// @brief Notes that a datagram of a member came in.
    void heard(TimePoint now, const InstanceId &instance);

    /// @brief Sets the state of a member as this instance has found it.
    /// @param isPassedOn whether it is news that goes on to others
    TableChanges setState(TimePoint now, const InstanceId &instance, MemberState state,
                          GoneEvidence evidence, bool isPassedOn);

    /// @brief Takes out up to a number of news to pass on, the least passed on first.
    std::vector<MemberUpdate> takeNews(std::size_t most);

    /// @brief Whether there is news that was not passed on yet.
    bool hasFreshNews() const;

    /// @brief Hashes of who is reachable, unreachable and leaving; gone members don't count.
    const TableDigest &digest() const noexcept { return this->buckets; }

    /// @brief The digest that a peer with the same knowledge has: without itself, with this
    /// process.
    TableDigest digestSeenBy(const Member &peer, const Member &self) const;

    /// @brief Records of one bucket in which another table differs.
    /// @param theirs digest of the other table
    /// @param offset chooses among the buckets and records, when not all fit
    /// @param most number of records
    std::vector<MemberUpdate> recordsWhereDifferent(const TableDigest &theirs, std::uint64_t offset,
                                                    std::size_t most) const;

    /// @brief Forgets members that are gone for long.
    void cleanUp(TimePoint now);

    MemberEntry *find(const InstanceId &instance);
    const MemberEntry *find(const InstanceId &instance) const;

    /// @brief The member whose process is reached at an endpoint.
    MemberEntry *findByEndpoint(const Endpoint &endpoint);

    std::map<InstanceId, MemberEntry> &all() { return this->entries; }
    const std::map<InstanceId, MemberEntry> &all() const { return this->entries; }

    /// @brief Members in a state, by name.
    const std::set<InstanceId> &inState(MemberState state) const
    {
        return this->byState.at(static_cast<std::size_t>(state));
    }

    /// @brief Raised with each change of who is reachable.
    std::uint64_t generation() const noexcept { return this->changeCount; }

    /// @brief Times that a new member was refused because the table was full.
    std::uint64_t refusedNew() const noexcept { return this->refusedCount; }

private:
    struct News
    {
        InstanceId instance;
        std::uint32_t transmissions = 0;
    };

    void enqueueNews(const InstanceId &instance);
    TableChange change(TimePoint now, MemberEntry &entry, const Member &to);
    std::optional<TableChange> insert(TimePoint now, const MemberUpdate &update);
    void replaceProcess(TimePoint now, MemberEntry &entry, const MemberUpdate &update,
                        TableChanges &changes);
    bool makeRoom();
    void erase(const InstanceId &instance);
    void enter(const Member &member);
    void exit(const Member &member);
    void toggleInDigest(const Member &member);

    InstanceId self;
    std::uint32_t newsTransmissions;
    Duration goneRetention;
    std::map<InstanceId, MemberEntry> entries;
    std::map<Endpoint, InstanceId> byEndpoint;
    std::array<std::set<InstanceId>, memberStateCount> byState;
    std::deque<News> news;
    TableDigest buckets{};
    std::uint64_t changeCount = 0;
    std::uint64_t refusedCount = 0;
};

/// @brief News of a member; with its endpoints when it is alive or when asked for.
MemberUpdate updateOf(const Member &member, bool withEndpoints = false);

/// @brief Whether a member is treated as alive.
bool isReachable(MemberState state) noexcept;

} // namespace bamboochute::peer
