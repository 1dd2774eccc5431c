/// @file
/// @brief Typed identifiers and counters, so that a model's name can't be passed as an instance's.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bamboochute {

/// @brief Text identifier of one kind of thing.
/// @tparam Tag distinguishes the kinds; never instantiated
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

/// @brief Counter of one kind, starting at zero, that only grows.
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
/// A set of upstreams whose loads are decided together by one owner.
using PoolId = Id<struct PoolTag>;
/// Model with its version, "name@version", or a bare name.
using ModelId = Id<struct ModelTag>;
using AdapterId = Id<struct AdapterTag>;
using UpstreamId = Id<struct UpstreamTag>;
using InstanceId = Id<struct InstanceTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RegionId = Id<struct RegionTag>;
using CallerClassId = Id<struct CallerClassTag>;
using OperationKey = Id<struct OperationKeyTag>;
using RequestId = Id<struct RequestTag>;

/// Fencing number of an ownership: the successor's is higher.
using Fence = Number<struct FenceTag>;
/// Revision of the configuration.
using Revision = Number<struct RevisionTag>;
/// Distinguishes the processes that run one after another under one instance's name.
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
