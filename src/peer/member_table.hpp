/// @file
/// @brief Table of members and the rules by which news overrides what is known.
#pragma once

#include "core/clock.hpp"
#include "peer/member.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bamboochute::peer {

/// Most members that are remembered, gone ones included.
constexpr std::size_t maxMembers = 4096;

/// @brief One change of the table.
struct TableChange
{
    Member member;
    MemberState before = MemberState::Alive;
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
    TableChanges merge(TimePoint now, const MemberUpdate &update);

    /// @brief Notes that a datagram of a member came in.
    void heard(TimePoint now, const InstanceId &instance);

    /// @brief Sets the state of a member as this instance has found it.
    TableChanges setState(TimePoint now, const InstanceId &instance, MemberState state,
                          GoneEvidence evidence);

    /// @brief Takes out up to a number of news to pass on, the least passed on first.
    std::vector<MemberUpdate> takeNews(std::size_t most);

    /// @brief Whether there is news that was not passed on yet.
    bool hasFreshNews() const;

    /// @brief Lets news of a member be passed on again.
    void repeatNews(const InstanceId &instance);

    /// @brief The next members in turn, for the slow repair of tables.
    std::vector<MemberUpdate> takeInTurn(std::size_t most);

    /// @brief Forgets members that are gone for long; news of them is refused by incarnation.
    void cleanUp(TimePoint now);

    MemberEntry *find(const InstanceId &instance);
    const MemberEntry *find(const InstanceId &instance) const;

    /// @brief The member whose process is reached at an endpoint.
    MemberEntry *findByEndpoint(const Endpoint &endpoint);

    std::map<InstanceId, MemberEntry> &all() { return this->entries; }
    const std::map<InstanceId, MemberEntry> &all() const { return this->entries; }

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

    InstanceId self;
    std::uint32_t newsTransmissions;
    Duration goneRetention;
    std::map<InstanceId, MemberEntry> entries;
    std::map<Endpoint, InstanceId> byEndpoint;
    std::deque<News> news;
    InstanceId cursor;
    std::uint64_t changeCount = 0;
    std::uint64_t refusedCount = 0;
};

/// @brief News that tells all that is known of a member.
MemberUpdate updateOf(const Member &member);

} // namespace bamboochute::peer
