/// @file
/// @brief Keeps the newest configuration of an instance, fetched from the key-value service or from
/// peers.
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

/// Most parts requested in one message.
constexpr std::size_t maxPartsInMessage = 128;
/// Most bytes of parts in one message.
constexpr std::size_t maxPartBytesInMessage = 256 << 10;

/// @brief Message with the newest root that the sender knows, and the parts that this revision
/// added if they are small.
struct RootAnnouncement
{
    ConfigurationRoot root;
    /// Texts of parts that this revision added; may be empty.
    std::vector<std::string> parts;
    auto operator<=>(const RootAnnouncement &) const = default;
};

/// @brief Message that requests parts from a peer.
struct PartsRequest
{
    std::vector<PartHash> hashes;
    auto operator<=>(const PartsRequest &) const = default;
};

/// @brief Message with the texts of parts; the receiver computes each hash from the text.
struct PartsResponse
{
    std::vector<std::string> parts;
    auto operator<=>(const PartsResponse &) const = default;
};

/// @brief Result of passing a message or read result to ConfigurationInForce: what to do next.
struct ConfigurationUpdate
{
    /// A newer root became known; the caller announces it to peers that may not know it.
    bool isNewRoot = false;
    /// The newer configuration that came into force; null when there is none.
    ConfigurationPointer applied;
    /// Parts to request from a peer or the key-value service; empty when nothing is missing.
    PartsRequest wanted;
};

/// @brief Whether an instance is ready for requests, and the reason.
struct Readiness
{
    bool isReady = false;
    std::string reason;
    auto operator<=>(const Readiness &) const = default;
};

/// @brief Event counters of ConfigurationInForce since the start.
struct InForceCounters
{
    std::uint64_t applied = 0;
    std::uint64_t olderRootsIgnored = 0;
    std::uint64_t conflictingRootsIgnored = 0;
    /// Parts that are not missing (any more), or that are invalid.
    std::uint64_t partsIgnored = 0;
    std::uint64_t partsAccepted = 0;
    std::uint64_t bytesAccepted = 0;
    auto operator<=>(const InForceCounters &) const = default;
};

/// @brief The configuration in force at one instance; its revision never decreases.
///
/// Runs on the control thread, without I/O and without a clock: each function takes an input and
/// returns what the caller does next.
class ConfigurationInForce
{
public:
    /// @brief Processes a peer's newest root; revision zero means that the peer knows none.
    ConfigurationUpdate onRootAnnounced(const InstanceId &peer, const RootAnnouncement &message);

    /// @brief Processes the root read from the key-value service; empty before the first
    /// submission.
    ConfigurationUpdate onRootRead(const std::optional<ConfigurationRoot> &root);

    /// @brief Records the revision that a peer reports to be in force there.
    ///
    /// The report counts for readiness once this instance has this revision or a newer one, so the
    /// order in which revisions and parts arrive does not matter.
    void onPeerRevision(const InstanceId &peer, Revision revision);

    /// @brief Records that a call to the key-value service got no answer.
    void onKeyValueUnavailable();

    /// @brief Sets the other instances that the membership considers alive.
    void onPeers(std::set<InstanceId> alive);

    /// @brief Processes parts from a peer or the key-value service.
    ConfigurationUpdate onPartsResponse(const PartsResponse &message);

    /// @brief Request for the parts that are still missing, at most maxPartsInMessage; for retries.
    PartsRequest wanted() const;

    /// @brief Builds the response to a peer's request: the parts that are known, up to
    /// maxPartBytesInMessage.
    PartsResponse answer(const PartsRequest &message) const;

    /// @brief The root of the configuration in force; revision zero when there is none.
    const ConfigurationRoot &newest() const noexcept { return this->root; }

    /// @brief The root in force, with the parts that it added if they are small enough.
    RootAnnouncement announcement() const;

    /// @brief The configuration in force; null before the first one.
    const ConfigurationPointer &configuration() const noexcept { return this->current; }

    /// @brief Finds a part of the configuration in force or of the one that is being fetched.
    /// @return the part's text, or null
    const std::string *findPart(const PartHash &hash) const;

    /// @brief Whether this instance has had the newest configuration that it could learn of at some
    /// time since the start.
    ///
    /// Stays true from then on: an instance that has not yet fetched a newer revision continues
    /// with the one in force.
    Readiness readiness() const;

    const InForceCounters &counters() const noexcept { return this->counterValues; }

    /// @brief Size of all stored parts and their hashes in bytes.
    std::size_t partBytes() const noexcept;

private:
    ConfigurationUpdate processRoot(const ConfigurationRoot &candidate,
                                    const std::vector<std::string> &texts);
    bool addParts(const std::vector<std::string> &texts);
    ConfigurationUpdate applyIfComplete(bool isNewRoot);
    Result<Configuration> joinPendingRoot() const;
    void apply(Configuration configuration);
    void dropUnreferenced();
    void recordPeerRevision(const InstanceId &peer, Revision revision);
    Readiness startReadiness() const;
    Readiness readinessByPeers() const;
    void updateReadiness();
    PartLookup lookup() const;

    /// The root in force.
    ConfigurationRoot root;
    ConfigurationPointer current;
    /// The newest root known; its parts may be missing.
    std::optional<ConfigurationRoot> pendingRoot;
    TreeWalk walk;
    Parts parts;
    /// Parts of the configuration in force.
    std::unordered_set<PartHash> partsInForce;
    /// Those of them that the previous configuration did not have.
    std::vector<PartHash> newParts;
    std::set<InstanceId> peers;
    /// The newest revision that each peer reported to be in force there.
    std::map<InstanceId, Revision> peerRevisions;
    bool hasKeyValueAnswer = false;
    bool isKeyValueUnavailable = false;
    bool hasBeenReady = false;
    /// Why the pending root can't be applied although no part is missing; empty when it can.
    std::string applyError;
    InForceCounters counterValues;
};

} // namespace bamboochute::admin
