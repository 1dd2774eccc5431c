/// @file
/// @brief Typed messages of the calls between instances.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/routing_table.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::peer {

/// Maximum number of entries of a list in one message.
constexpr std::size_t maxMessageEntries = 1024;
/// Maximum bytes of configuration parts in one answer.
constexpr std::size_t maxChunkBytes = std::size_t{128} * 1024;

/// @brief What the receiver of a report did with it.
enum class ReportOutcome : std::uint8_t {
    Accepted,
    /// The receiver does not own the pool; the answer may name the owner.
    NotOwner,
    Refused,
};

/// @brief Demand for a target: requests for it that wait at an instance.
struct TargetDemand
{
    Target target;
    /// Number of waiting requests.
    std::uint32_t waiting = 0;
    /// Time until the earliest deadline of the waiting requests, as of sending the report.
    std::chrono::milliseconds earliestDeadline{0};
    /// Sum of the weights of the caller classes of the waiting requests.
    std::uint64_t classWeight = 0;
    auto operator<=>(const TargetDemand &) const = default;
};

/// @brief Decision of a pool's owner not to serve the demand for a target.
struct DemandRefusal
{
    Target target;
    ErrorKind kind = ErrorKind::NoCapacity;
    std::string message;
    /// Time after which the caller may retry; zero when unknown.
    std::chrono::seconds retryAfter{0};
    /// Applies to requests whose deadline is at most this far away.
    std::chrono::milliseconds deadlineWithin{0};
    auto operator<=>(const DemandRefusal &) const = default;
};

/// @brief Answer to a demand report.
struct DemandAnswer
{
    ReportOutcome outcome = ReportOutcome::Accepted;
    /// Owner of the pool as known to the receiver; empty when unknown.
    InstanceId ownerHint;
    Fence fence;
    std::vector<DemandRefusal> refusals;
    auto operator<=>(const DemandAnswer &) const = default;
};

/// @brief Reports to a pool's owner which targets an instance needs loaded.
struct DemandReport
{
    using Response = DemandAnswer;
    static constexpr const char *method = "demand";

    PoolId pool;
    std::vector<TargetDemand> demands;
    auto operator<=>(const DemandReport &) const = default;
};

/// @brief Usage of a target through one instance since that instance's last report.
struct TargetUsage
{
    Target target;
    std::uint64_t requests = 0;
    /// Requests in flight now.
    std::uint32_t active = 0;
    /// Time since a request last started or ended.
    std::chrono::milliseconds sinceLastUse{0};
    auto operator<=>(const TargetUsage &) const = default;
};

/// @brief Answer to a usage report.
struct UsageAnswer
{
    ReportOutcome outcome = ReportOutcome::Accepted;
    /// Owner of the pool as known to the receiver; empty when unknown.
    InstanceId ownerHint;
    auto operator<=>(const UsageAnswer &) const = default;
};

/// @brief Reports to a pool's owner how its targets are used through one instance.
struct UsageReport
{
    using Response = UsageAnswer;
    static constexpr const char *method = "usage";

    PoolId pool;
    std::vector<TargetUsage> usages;
    auto operator<=>(const UsageReport &) const = default;
};

/// @brief Answer to an OwnershipGivenUpReport.
struct OwnershipGivenUpAnswer
{
    bool isRecorded = false;
    auto operator<=>(const OwnershipGivenUpAnswer &) const = default;
};

/// @brief Confirms that a former owner of a pool sends no more orders under a fence.
struct OwnershipGivenUpReport
{
    using Response = OwnershipGivenUpAnswer;
    static constexpr const char *method = "gaveUp";

    PoolId pool;
    Fence fence;
    InstanceId instance;
    Incarnation incarnation;
    /// Numbers of the sent orders that may still be carried out.
    std::vector<std::uint64_t> unresolvedOrders;
    auto operator<=>(const OwnershipGivenUpReport &) const = default;
};

/// @brief Position in a configuration part from which its bytes are requested.
struct PartPosition
{
    /// SHA-256 of the part, as hex.
    std::string hash;
    std::uint64_t offset = 0;
    auto operator<=>(const PartPosition &) const = default;
};

/// @brief Consecutive bytes of a configuration part.
struct PartChunk
{
    std::string hash;
    std::uint64_t offset = 0;
    /// Size of the whole part, in bytes.
    std::uint64_t totalBytes = 0;
    std::string bytes;
    auto operator<=>(const PartChunk &) const = default;
};

/// @brief Bytes of the requested parts, at most maxChunkBytes in all; unknown parts are omitted.
struct ConfigurationPartsAnswer
{
    std::vector<PartChunk> chunks;
    auto operator<=>(const ConfigurationPartsAnswer &) const = default;
};

/// @brief Requests configuration parts by their hashes.
struct ConfigurationPartsRequest
{
    using Response = ConfigurationPartsAnswer;
    static constexpr const char *method = "configurationParts";

    std::vector<PartPosition> parts;
    auto operator<=>(const ConfigurationPartsRequest &) const = default;
};

/// @brief Identity of an instance: answer to a Ping, and first frame of a client.
struct Pong
{
    InstanceId instance;
    Incarnation incarnation;
    auto operator<=>(const Pong &) const = default;
};

/// @brief Asks for the identity of the instance at an endpoint.
struct Ping
{
    using Response = Pong;
    static constexpr const char *method = "ping";

    auto operator<=>(const Ping &) const = default;
};

/// @brief Requirements on the request type of a typed call.
template<typename T>
concept CallRequest = requires
{
    typename T::Response;
    T::method;
};

/// @brief Encodes a message as CBOR.
template<typename Message>
std::string encodeMessage(const Message &message);

/// @brief Decodes a message from CBOR.
/// @return the message; MalformedJson when the bytes are not CBOR, InvalidField with the name of
///         the member when it is missing or invalid
template<typename Message>
Result<Message> decodeMessage(std::string_view bytes);

/// @brief Encodes the body of an answer, a message or an error, as CBOR.
template<typename Message>
std::string encodeResult(const Result<Message> &result);

/// @brief Decodes the body of an answer that encodeResult() has encoded.
/// @return the message, the error that the remote handler returned, or an error of
///         decodeMessage()
template<typename Message>
Result<Message> decodeResult(std::string_view bytes);

} // namespace bamboochute::peer
