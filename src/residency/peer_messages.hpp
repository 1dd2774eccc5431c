/// @file
/// @brief Messages between instances about demand and placement, and their encoding in datagrams.
#pragma once

#include "core/error.hpp"
#include "forwarding/helper_directory.hpp"
#include "gateway/demand_tracker.hpp"
#include "gateway/limit_driver.hpp"
#include "gateway/origin_journal.hpp"
#include "gateway/quarantine.hpp"
#include "gateway/stream_origins.hpp"
#include "gateway/upstream_pace.hpp"
#include "gateway/upstream_table.hpp"
#include "gateway/workspace_quota.hpp"
#include "residency/candidacy.hpp"
#include "residency/ownership_consent.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboochute::residency {

/// @brief Demand report of an instance to the owner of the placement.
struct DemandMessage
{
    InstanceId sender;
    /// Whether the waiting and running requests add to those of the message before it instead of
    /// replacing them.
    bool isContinuation = false;
    std::vector<gateway::TargetDemand> demand;
    /// Upstreams that the sender has begun to avoid.
    std::vector<UpstreamId> suspected;
    auto operator<=>(const DemandMessage &) const = default;
};

/// @brief Models and adapters that one upstream holds.
struct UpstreamResidency
{
    UpstreamId upstream;
    gateway::Residency residency;
    auto operator<=>(const UpstreamResidency &) const = default;
};

/// @brief Load that one upstream reported.
struct UpstreamLoad
{
    UpstreamId upstream;
    gateway::ReportedLoad load;
    auto operator<=>(const UpstreamLoad &) const = default;
};

/// @brief Expected time until some upstream holds a target.
struct PromisedTarget
{
    gateway::ServiceTarget target;
    Duration readyIn{};
    auto operator<=>(const PromisedTarget &) const = default;
};

/// @brief How far the owner has followed the changes of one part of the platform's store.
struct WatchProgress
{
    /// Revision of the last change that is relevant to every instance.
    std::uint64_t lastChange = 0;
    /// Revision up to which the owner has seen every change.
    std::uint64_t seenUpTo = 0;
    auto operator<=>(const WatchProgress &) const = default;
};

/// @brief How far the owner has followed the parts of the platform's store that operators and
/// upstreams write.
struct StoreWatchProgress
{
    WatchProgress configuration;
    WatchProgress registrations;
    /// Time since the store last confirmed to the owner that there is nothing newer.
    Duration age{};
    /// Era of the store to which the revisions belong; zero from instances of earlier releases, and
    /// where the store names none.
    std::uint64_t era = 0;
    /// Revision of the owner's record; zero from instances of earlier releases, where it is the
    /// fencing number.
    std::uint64_t ownerRevision = 0;
    auto operator<=>(const StoreWatchProgress &) const = default;
};

/// @brief A change of an upstream's registration that the owner forwards, so that not every
/// instance has to query the store.
struct ForwardedChange
{
    std::string key;
    /// The value as it was written to the store; empty when the key was removed.
    std::string value;
    /// Store revision of this change.
    std::uint64_t revision = 0;
    /// Revision of the relevant change before this one; an instance that has not seen that one
    /// queries the store.
    std::uint64_t previous = 0;
    bool isRemoval = false;
    /// Whether the sender can't be certain that the key is gone. Instances of this release judge by
    /// what they know of the store themselves; those of earlier ones rely on it.
    bool isDoubtful = false;
    /// Era of the store in which it was made; zero as in StoreWatchProgress.
    std::uint64_t era = 0;
    auto operator<=>(const ForwardedChange &) const = default;
};

/// @brief Message of the owner to the other instances.
struct OwnerMessage
{
    /// Fencing number of the owner; messages of former owners are ignored.
    Fence fence;
    /// Number of instances that report to the owner; zero when the message does not state it.
    std::uint32_t instanceCount = 0;
    /// Models and adapters of upstreams, where they changed.
    std::vector<UpstreamResidency> residencies;
    std::vector<UpstreamLoad> loads;
    /// When targets that requests of the receiver wait for are expected.
    std::vector<PromisedTarget> promises;
    /// Upstreams that some instance has begun to avoid.
    std::vector<UpstreamId> suspected;
    std::vector<ForwardedChange> changes;
    std::optional<StoreWatchProgress> watchProgress;
    /// Addresses of instances, the owner's included.
    std::vector<Endpoint> instances;
    auto operator<=>(const OwnerMessage &) const = default;
};

/// @brief Tells another instance which version began a stream.
struct StreamOriginMessage
{
    gateway::StreamOrigin origin;
    auto operator<=>(const StreamOriginMessage &) const = default;
};

/// @brief Asks another instance for the origin of a stream; one that knows it answers with a
/// StreamOriginMessage.
struct StreamOriginQuery
{
    RequestId request;
    auto operator<=>(const StreamOriginQuery &) const = default;
};

/// @brief Tells another instance of a request that broke in a crash of its upstream.
struct CrashReportMessage
{
    gateway::CrashReport report;
    auto operator<=>(const CrashReportMessage &) const = default;
};

/// @brief Tells another instance which requests and parts of prompts are or were quarantined.
struct QuarantineMessage
{
    std::vector<gateway::QuarantineEntry> entries;
    auto operator<=>(const QuarantineMessage &) const = default;
};

/// @brief Tells another instance which upstreams name a limit of requests per second.
struct LimitMessage
{
    std::vector<gateway::LimitReport> limits;
    auto operator<=>(const LimitMessage &) const = default;
};

/// @brief Tells the aggregator what the sender has admitted of the workspaces' quotas; instances of
/// earlier releases drop it.
struct QuotaReportMessage
{
    gateway::QuotaReport report;
    auto operator<=>(const QuotaReportMessage &) const = default;
};

/// @brief Tells an instance what it may admit of the workspaces' quotas; those that are left out
/// have used little.
struct QuotaSharesMessage
{
    std::vector<gateway::QuotaShare> shares;
    /// Whether it adds to the message before it instead of replacing its shares.
    bool isContinuation = false;
    auto operator<=>(const QuotaSharesMessage &) const = default;
};

/// @brief Tells the owner what the sender has seen of upstreams; instances of earlier releases drop
/// it.
struct PaceReportMessage
{
    InstanceId reporter;
    /// Whether the upstreams add to those of the message before it.
    bool isContinuation = false;
    std::vector<gateway::UpstreamEvidence> evidence;
    auto operator<=>(const PaceReportMessage &) const = default;
};

/// @brief Tells an instance the speeds of upstreams, and what it may send to those that have
/// started or recovered; those that are left out are as fast as others and not limited.
struct PaceStatesMessage
{
    std::vector<gateway::UpstreamPaceState> states;
    auto operator<=>(const PaceStatesMessage &) const = default;
};

/// @brief Tells another instance that a process of an upstream is shutting down.
struct LeavingMessage
{
    gateway::UpstreamProcess process;
    auto operator<=>(const LeavingMessage &) const = default;
};

/// @brief Asks another instance whether it can send requests to a service for this one; instances
/// of earlier releases don't answer.
struct HelpQuery
{
    gateway::ServiceId service;
    /// Only an instance that an upstream has answered can help; instances of earlier releases go by
    /// connections as well.
    bool isAnswerNeeded = false;
    auto operator<=>(const HelpQuery &) const = default;
};

/// @brief Hands origins of streams to the owner, which has them stored; instances of earlier
/// releases drop it.
struct OriginBatchMessage
{
    gateway::OriginBatch batch;
    auto operator<=>(const OriginBatchMessage &) const = default;
};

/// @brief Tells the sender of a batch of origins that it is stored.
struct OriginAcknowledgement
{
    gateway::OriginBatchNumber batch;
    auto operator<=>(const OriginAcknowledgement &) const = default;
};

using PeerMessage
        = std::variant<DemandMessage, OwnerMessage, StreamOriginMessage, StreamOriginQuery,
                       CrashReportMessage, QuarantineMessage, LimitMessage, gateway::PermitRequest,
                       gateway::PermitAnswer, LeavingMessage, HelpQuery, forwarding::HelpOffer,
                       OriginBatchMessage, OriginAcknowledgement, ConsentQuery, ConsentAnswer,
                       QuotaReportMessage, QuotaSharesMessage, PaceReportMessage, PaceStatesMessage,
                       CandidateNotice, CandidateAnswer>;

/// @brief Encodes a message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);

/// @brief Decodes a datagram.
/// @return the message; MalformedRequest when the bytes are not the encoding of one
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

/// @brief Splits a message into parts that each fit into a datagram.
/// @param maxBytes upper bound of an encoded part; only a part with one element may exceed it
/// @return at least one part; all but the first are continuations of it
std::vector<DemandMessage> splitMessage(const DemandMessage &message, std::size_t maxBytes);

/// @brief Splits a message into parts that each fit into a datagram.
/// @param maxBytes upper bound of an encoded part; only a part with one element may exceed it
/// @return at least one part; each has the fencing number and the number of instances
std::vector<OwnerMessage> splitMessage(const OwnerMessage &message, std::size_t maxBytes);

/// @brief Splits a message into parts that each fit into a datagram.
/// @param maxBytes upper bound of an encoded part; only a part with one element may exceed it
std::vector<CrashReportMessage> splitMessage(const CrashReportMessage &message,
                                             std::size_t maxBytes);

/// @brief Splits a message into parts that each fit into a datagram.
/// @param maxBytes upper bound of an encoded part; only a part with one element may exceed it
std::vector<QuarantineMessage> splitMessage(const QuarantineMessage &message, std::size_t maxBytes);

/// @brief Splits a message into parts that each fit into a datagram.
/// @param maxBytes upper bound of an encoded part; only a part with one element may exceed it
std::vector<LimitMessage> splitMessage(const LimitMessage &message, std::size_t maxBytes);

/// @brief Splits a message into parts that each fit into a datagram.
/// @param maxBytes upper bound of an encoded part; only a part with one element may exceed it
/// @return at least one part; each states all that the message says of its workspaces
std::vector<QuotaReportMessage> splitMessage(const QuotaReportMessage &message,
                                             std::size_t maxBytes);

/// @brief Splits a message into parts that each fit into a datagram.
/// @param maxBytes upper bound of an encoded part; only a part with one element may exceed it
/// @return at least one part; all but the first are continuations of it
std::vector<QuotaSharesMessage> splitMessage(const QuotaSharesMessage &message,
                                             std::size_t maxBytes);

/// @brief Splits a message into parts that each fit into a datagram.
/// @param maxBytes upper bound of an encoded part; only a part with one element may exceed it
/// @return at least one part; all but the first are continuations of it
std::vector<PaceReportMessage> splitMessage(const PaceReportMessage &message, std::size_t maxBytes);

/// @brief Splits a message into parts that each fit into a datagram.
/// @param maxBytes upper bound of an encoded part; only a part with one element may exceed it
std::vector<PaceStatesMessage> splitMessage(const PaceStatesMessage &message, std::size_t maxBytes);

} // namespace bamboochute::residency
