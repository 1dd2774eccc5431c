/// @file
/// @brief Keeps the newest configuration of an instance, from the key-value service or from peers.
#pragma once

#include "admin/configuration_parts.hpp"
#include "admin/configuration_root.hpp"
#include "core/configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace bamboochute::admin {

/// Parts asked for in one message.
constexpr std::size_t maxPartsInMessage = 128;
/// Bytes of parts that one message carries.
constexpr std::size_t maxPartBytesInMessage = 256 << 10;

/// @brief Message: the newest root that the sender knows, with the parts that it changed if small.
struct RootAnnouncement
{
    ConfigurationRoot root;
    /// Texts of parts that are new at this revision; may be empty.
    std::vector<std::string> parts;
    auto operator<=>(const RootAnnouncement &) const = default;
};

/// @brief Message: asks a peer for parts.
struct PartsRequest
{
    std::vector<PartHash> hashes;
    auto operator<=>(const PartsRequest &) const = default;
};

/// @brief Message: texts of parts; each hash follows from its text.
struct PartsResponse
{
    std::vector<std::string> parts;
    auto operator<=>(const PartsResponse &) const = default;
};

/// @brief What an input to ConfigurationInForce led to.
struct ConfigurationUpdate
{
    /// A newer root became known; announce it to peers that may not know it.
    bool isNewRoot = false;
    /// Set when a newer configuration came into force.
    ConfigurationPointer applied;
    /// Parts to ask of a peer or the key-value service; empty when nothing is missing.
    PartsRequest wanted;
};

/// @brief Whether an instance may take requests, and why not.
struct Readiness
{
    bool isReady = false;
    std::string reason;
    auto operator<=>(const Readiness &) const = default;
};

/// @brief Counters of what ConfigurationInForce met.
struct InForceCounters
{
    std::uint64_t applied = 0;
    std::uint64_t olderRootsIgnored = 0;
    std::uint64_t conflictingRootsIgnored = 0;
    /// Parts that were not wanted, or not any more.
    std::uint64_t partsIgnored = 0;
    std::uint64_t partsTaken = 0;
    std::uint64_t bytesTaken = 0;
    auto operator<=>(const InForceCounters &) const = default;
};

/// @brief The configuration in force at one instance; revisions never fall.
///
/// Runs on the control thread, without I/O and without a clock: inputs come as values, and each
/// returns what to do next.
class ConfigurationInForce
{
public:
    /// @brief Takes a peer's newest root; revision zero says that the peer knows none.
    ConfigurationUpdate onRootAnnounced(const InstanceId &peer, const RootAnnouncement &message);

    /// @brief Takes the root read from the key-value service; none when it doesn't exist yet.
    ConfigurationUpdate onRootRead(const std::optional<ConfigurationRoot> &root);

    /// @brief Takes the revision that a peer says is in force there, by whatever way it came.
    ///
    /// Counts as that peer's answer once this instance has this revision or a newer one, so the
    /// order in which revisions and parts arrive does not matter.
    void onPeerRevision(const InstanceId &peer, Revision revision);

    /// @brief Notes that the key-value service did not answer.
    void onKeyValueUnavailable();

    /// @brief Takes the list of the other instances that are believed alive.
    void onPeers(std::set<InstanceId> alive);

    /// @brief Takes parts from a peer or the key-value service.
    ConfigurationUpdate onPartsResponse(const PartsResponse &message);

    /// @brief Parts still missing, for asking again; at most maxPartsInMessage.
    PartsRequest wanted() const;

    /// @brief Answers a peer with the parts that are known, up to maxPartBytesInMessage.
    PartsResponse answer(const PartsRequest &message) const;

    /// @brief The newest complete root, for announcing it; revision zero when there is none.
    const ConfigurationRoot &newest() const noexcept { return this->root; }

    /// @brief The newest root with the parts that are new since the one before, if they are few.
    RootAnnouncement announcement() const;

    /// @brief The configuration in force; null before the first one.
    const ConfigurationPointer &configuration() const noexcept { return this->current; }

    /// @brief Finds a part of the configuration in force or of the one that is being fetched.
    const std::string *findPart(const PartHash &hash) const;

    /// @brief Whether the newest configuration was known well enough at some time since the start.
    ///
    /// Stays true from then on: an instance that is late with a newer revision goes on by its own.
    Readiness readiness() const;

    const InForceCounters &counters() const noexcept { return this->counted; }

    /// @brief Bytes of all parts kept.
    std::size_t partBytes() const noexcept;

private:
    ConfigurationUpdate consider(const ConfigurationRoot &candidate,
                                 const std::vector<std::string> &texts);
    bool addParts(const std::vector<std::string> &texts);
    ConfigurationUpdate proceed(bool isNewRoot);
    Result<Configuration> joinTarget() const;
    void apply(Configuration configuration);
    void dropUnreferenced();
    void notePeer(const InstanceId &peer, Revision revision);
    Readiness startReadiness() const;
    Readiness readinessByPeers() const;
    void noteReadiness();
    PartLookup lookup() const;

    /// The root in force.
    ConfigurationRoot root;
    ConfigurationPointer current;
    /// The newest root known; its parts may be missing.
    std::optional<ConfigurationRoot> target;
    TreeWalk walk;
    Parts parts;
    /// Parts of the configuration in force.
    std::unordered_set<PartHash> partsInForce;
    /// Those of them that the configuration before did not have.
    std::vector<PartHash> newParts;
    std::set<InstanceId> peers;
    /// What peers have said is in force there.
    std::map<InstanceId, Revision> peerRevisions;
    bool hasKeyValueAnswer = false;
    bool isKeyValueUnavailable = false;
    bool hasBeenReady = false;
    /// Why the target can't be applied although no part is missing; empty when it can.
    std::string problem;
    InForceCounters counted;
};

} // namespace bamboochute::admin
