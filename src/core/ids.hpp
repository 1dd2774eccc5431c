/// @file
/// @brief Typed identifiers and numbers, so that a model's id can't be passed as an instance's.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bamboochute {

/// @brief String identifier of one type of object.
/// @tparam Tag distinguishes the types of objects; never instantiated
template<typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string text)
        : text(std::move(text))
    {}

    const std::string &value() const noexcept { return this->text; }
    bool isEmpty() const noexcept { return this->text.empty(); }

    auto operator<=>(const Id &) const = default;

private:
    std::string text;
};

/// @brief Number of one type, such as a revision, that starts at zero and only increases.
template<typename Tag>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t number)
        : number(number)
    {}

    constexpr std::uint64_t value() const noexcept { return this->number; }
    constexpr Number next() const noexcept { return Number(this->number + 1); }

    auto operator<=>(const Number &) const = default;

private:
    std::uint64_t number = 0;
};

using DeploymentId = Id<struct DeploymentTag>;
/// Set of upstreams for which one owner decides which models are loaded.
using PoolId = Id<struct PoolTag>;
/// Model with its version, "name@version", or a bare name.
using ModelId = Id<struct ModelTag>;
using AdapterId = Id<struct AdapterTag>;
using UpstreamId = Id<struct UpstreamTag>;
/// Version of the software that an upstream runs.
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using InstanceId = Id<struct InstanceTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RegionId = Id<struct RegionTag>;
/// One team with its own keys and quota.
using WorkspaceId = Id<struct WorkspaceTag>;
using CallerClassId = Id<struct CallerClassTag>;
using OperationKey = Id<struct OperationKeyTag>;
using RequestId = Id<struct RequestTag>;
/// Part of a prompt, such as an instruction or a document, that several requests may share.
using PromptPartId = Id<struct PromptPartTag>;
/// Hash that requests share which ask the same for the same caller.
using RequestFingerprint = Id<struct RequestFingerprintTag>;

/// Fencing number of an owner; each successor's is higher.
using Fence = Number<struct FenceTag>;
/// Revision of the configuration.
using Revision = Number<struct RevisionTag>;
/// Distinguishes successive processes of one instance.
using Incarnation = Number<struct IncarnationTag>;

} // namespace bamboochute

template<typename Tag>
struct std::hash<bamboochute::Id<Tag>>
{
    std::size_t operator()(const bamboochute::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};

template<typename Tag>
struct std::hash<bamboochute::Number<Tag>>
{
    std::size_t operator()(const bamboochute::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>{}(number.value());
    }
};
