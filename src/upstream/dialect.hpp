/// @file
/// @brief The interface of a dialect: the part of calling engines that depends on their vendor.
#pragma once

#include "core/configuration.hpp"
#include "upstream/engine_report.hpp"
#include "upstream/orders.hpp"

#include <concepts>
#include <string>
#include <string_view>
#include <utility>

namespace bamboochute::upstream {

/// @brief An HTTP request built by a dialect.
struct DialectCall
{
    std::string method;
    std::string target;
    std::string body;
    /// Additional header lines, each ended by CRLF.
    std::string headers;
    auto operator<=>(const DialectCall &) const = default;
};

/// @brief Requirements on a dialect for completion requests.
template<typename T>
concept GenerationDialect = requires(const RequestId &request)
{
    {
        T::vendor
        } -> std::convertible_to<Vendor>;
    // Name of the header that carries the caller class's priority.
    {
        T::priorityHeader
        } -> std::convertible_to<std::string_view>;
    // Whether a broken stream can be resumed after the last event received.
    {
        T::canResume
        } -> std::convertible_to<bool>;
    // Builds the call that cancels a request.
    {
        T::cancelCall(request)
        } -> std::same_as<DialectCall>;
};

/// @brief Requirements on a dialect for reports and orders.
template<typename T>
concept EngineDialect
        = GenerationDialect<T> && requires(const Order &order, int status, std::string_view body)
{
    // Builds the call that requests load and inventory.
    {
        T::reportCall()
        } -> std::same_as<DialectCall>;
    // Parses a report; ReportDistrusted when the body is malformed or implausible.
    {
        T::parseReport(body)
        } -> std::same_as<Result<EngineReport>>;
    // Builds the call that sends an order.
    {
        T::orderCall(order)
        } -> std::same_as<DialectCall>;
    // Parses the answer to an order; OrderUnconfirmed when it is malformed.
    {
        T::parseOrderAnswer(order, status, body)
        } -> std::same_as<OrderOutcome>;
};

/// Request header that resumes a broken stream, for dialects that can resume.
constexpr std::string_view resumeHeader = "Last-Event-ID";

} // namespace bamboochute::upstream
