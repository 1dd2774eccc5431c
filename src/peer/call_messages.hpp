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

/// Most entries of a list in one message.
constexpr std::size_t maxMessageEntries = 1024;
/// Most bytes of configuration parts in one answer.
constexpr std::size_t maxChunkBytes = std::size_t{128} * 1024;

/// @brief What the receiver of a report did with it.
enum class ReportOutcome : std::uint8_t {
    Accepted,
    /// The receiver does not own the pool; the answer may name who does.
    NotOwner,
    Refused,
};

/// @brief A target for which requests wait at an instance.
struct TargetDemand
{
    Target target;
    std::uint32_t waiting = 0;
    /// Time left until the earliest deadline among them, when the report was sent.
    std::chrono::milliseconds earliestDeadline{0};
    /// Sum of the weights of the caller classes that wait.
    std::uint64_t classWeight = 0;
    auto operator<=>(const TargetDemand &) const = default;
};

/// @brief A target whose demand the owner has given up on.
struct DemandRefusal
{
    Target target;
    ErrorKind kind = ErrorKind::NoCapacity;
    std::string message;
    /// When the caller may come back; zero when not known.
    std::chrono::seconds retryAfter{0};
    /// Holds for requests whose deadline is within this time.
    std::chrono::milliseconds deadlineWithin{0};
    auto operator<=>(const DemandRefusal &) const = default;
};

/// @brief Answer to a demand report.
struct DemandAnswer
{
    ReportOutcome outcome = ReportOutcome::Accepted;
    /// Owner as far as the receiver knows; empty when it does not.
    InstanceId ownerHint;
    Fence fence;
    std::vector<DemandRefusal> refusals;
    auto operator<=>(const DemandAnswer &) const = default;
};

/// @brief Targets that an instance wants loaded in a pool.
struct DemandReport
{
    using Response = DemandAnswer;
    static constexpr const char *method = "demand";

    PoolId pool;
    std::vector<TargetDemand> demands;
    auto operator<=>(const DemandReport &) const = default;
};

/// @brief Use of a target through one instance since its last report.
struct TargetUsage
{
    Target target;
    std::uint64_t requests = 0;
    /// Requests in flight now.
    std::uint32_t active = 0;
    /// Time since the last request ended or began.
    std::chrono::milliseconds sinceLastUse{0};
    auto operator<=>(const TargetUsage &) const = default;
};

struct UsageAnswer
{
    ReportOutcome outcome = ReportOutcome::Accepted;
    InstanceId ownerHint;
    auto operator<=>(const UsageAnswer &) const = default;
};

/// @brief Use of the targets of a pool through one instance.
struct UsageReport
{
    using Response = UsageAnswer;
    static constexpr const char *method = "usage";

    PoolId pool;
    std::vector<TargetUsage> usages;
    auto operator<=>(const UsageReport &) const = default;
};

struct OwnershipGivenUpAnswer
{
    bool isRecorded = false;
    auto operator<=>(const OwnershipGivenUpAnswer &) const = default;
};

/// @brief A former owner confirms that it sends no order of this fence any more.
struct OwnershipGivenUpReport
{
    using Response = OwnershipGivenUpAnswer;
    static constexpr const char *method = "gaveUp";

    PoolId pool;
    Fence fence;
    InstanceId instance;
    Incarnation incarnation;
    /// Numbers of the orders that may still be carried out.
    std::vector<std::uint64_t> unresolvedOrders;
    auto operator<=>(const OwnershipGivenUpReport &) const = default;
};

/// @brief A part of the configuration from one position on.
struct PartPosition
{
    /// SHA-256 of the part, as hex.
    std::string hash;
    std::uint64_t offset = 0;
    auto operator<=>(const PartPosition &) const = default;
};

/// @brief Bytes of a part.
struct PartChunk
{
    std::string hash;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string bytes;
    auto operator<=>(const PartChunk &) const = default;
};

/// @brief As much of the parts asked for as fits below maxChunkBytes; unknown parts are left out.
struct ConfigurationPartsAnswer
{
    std::vector<PartChunk> chunks;
    auto operator<=>(const ConfigurationPartsAnswer &) const = default;
};

/// @brief Asks for parts of the configuration by their hashes.
struct ConfigurationPartsRequest
{
    using Response = ConfigurationPartsAnswer;
    static constexpr const char *method = "configurationParts";

    std::vector<PartPosition> parts;
    auto operator<=>(const ConfigurationPartsRequest &) const = default;
};

struct Pong
{
    InstanceId instance;
    Incarnation incarnation;
    auto operator<=>(const Pong &) const = default;
};

/// @brief Asks who answers at an endpoint.
struct Ping
{
    using Response = Pong;
    static constexpr const char *method = "ping";

    auto operator<=>(const Ping &) const = default;
};

/// @brief What a typed call requires of its request.
template<typename T>
concept CallRequest = requires
{
    typename T::Response;
    T::method;
};

/// @brief Encodes a message as CBOR.
template<typename Message>
std::string encodeMessage(const Message &message);

/// @brief Decodes a message; MalformedJson or InvalidField names what is wrong.
template<typename Message>
Result<Message> decodeMessage(std::string_view bytes);

/// @brief Encodes a result or an error as CBOR, as answers to calls carry it.
template<typename Message>
std::string encodeResult(const Result<Message> &result);

/// @brief Decodes what encodeResult has encoded.
template<typename Message>
Result<Message> decodeResult(std::string_view bytes);

} // namespace bamboochute::peer
