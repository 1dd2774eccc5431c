/// @file
/// @brief What differs between the vendors of engines.
#pragma once

#include "core/configuration.hpp"
#include "upstream/engine_report.hpp"
#include "upstream/orders.hpp"

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
    /// Header lines, each with its end of line.
    std::string headers;
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

/// @brief What the program requires of a vendor's reports and orders.
template<typename T>
concept EngineDialect
        = GenerationDialect<T> && requires(const Order &order, int status, std::string_view body)
{
    // Call that asks for load and inventory.
    {
        T::reportCall()
        } -> std::same_as<DialectCall>;
    // ReportDistrusted when the body can't be believed.
    {
        T::parseReport(body)
        } -> std::same_as<Result<EngineReport>>;
    {
        T::orderCall(order)
        } -> std::same_as<DialectCall>;
    // OrderUnconfirmed when the answer can't be understood.
    {
        T::parseOrderAnswer(order, status, body)
        } -> std::same_as<OrderOutcome>;
};

/// Header by which a broken stream is asked for again, where the vendor can resume.
constexpr std::string_view resumeHeader = "Last-Event-ID";

} // namespace bamboochute::upstream
