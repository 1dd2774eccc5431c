/// @file
/// @brief What differs between the vendors of engines.
#pragma once

#include "core/configuration.hpp"
#include "core/invariant.hpp"

#include <concepts>
#include <string>
#include <string_view>
#include <utility>

namespace bamboochute::upstream {

/// @brief An HTTP call that a dialect asks for.
struct DialectCall
{
    std::string method;
    std::string target;
    std::string body;
    auto operator<=>(const DialectCall &) const = default;
};

/// @brief What the program requires of a vendor's way of being called for completions.
template<typename T>
concept GenerationDialect = requires(const RequestId &request)
{
    {
        T::vendor
        } -> std::convertible_to<Vendor>;
    // Header that carries the caller class's priority.
    {
        T::priorityHeader
        } -> std::convertible_to<std::string_view>;
    // Whether a broken stream can be asked for again from the last event that came.
    {
        T::canResume
        } -> std::convertible_to<bool>;
    // Call that stops the work on a request.
    {
        T::cancelCall(request)
        } -> std::same_as<DialectCall>;
};

/// Header by which a broken stream is asked for again, where the vendor can resume.
constexpr std::string_view resumeHeader = "Last-Event-ID";

} // namespace bamboochute::upstream
