#include "upstream/engine_report.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace bamboochute::upstream {

namespace {

/// Vendors round amounts of memory to this unit.
constexpr std::uint64_t roundingBytes = 1 << 20;

std::string formatTarget(const Target &target)
{
    if (target.adapter.isEmpty())
        return target.model.value();
    return target.model.value() + ":" + target.adapter.value();
}

Error makeReportError(std::string message, std::string field)
{
    return Error(ErrorKind::ReportDistrusted, std::move(message), std::move(field));
}

Result<void> checkPlacements(const EngineReport &report, const ReportExpectation &expected)
{
    std::set<Target> seen;
    for (const PlacementReport &placement : report.placements) {
        const Target &target = placement.target;
        if (!seen.insert(target).second)
            return makeReportError(
                    fmt::format("target \"{}\" is listed twice", formatTarget(target)),
                    "placements");
        const auto *const known = expected.knownTargets;
        if (known && std::find(known->begin(), known->end(), target) == known->end())
            return makeReportError(
                    fmt::format("target \"{}\" is not configured", formatTarget(target)),
                    "placements");
    }
    for (const Target &target : seen) {
        if (!target.adapter.isEmpty() && !seen.contains(Target{target.model, AdapterId()}))
            return makeReportError(fmt::format("adapter \"{}\" is listed without its base model",
                                               formatTarget(target)),
                                   "placements");
    }
    return boost::outcome_v2::success();
}

Result<void> checkMemory(const EngineReport &report, const ReportExpectation &expected)
{
    if (report.memoryUsed > report.memoryTotal)
        return makeReportError(fmt::format("{} bytes of memory are used, but only {} exist",
                                           report.memoryUsed.count, report.memoryTotal.count),
                               "memory");
    if (report.memoryTotal.count + roundingBytes < expected.memory.count)
        return makeReportError(
                fmt::format("the engine has {} bytes of memory, but {} are configured",
                            report.memoryTotal.count, expected.memory.count),
                "memory");
    std::uint64_t sum = 0;
    for (const PlacementReport &placement : report.placements)
        sum += placement.memory.count;
    const std::uint64_t slack = roundingBytes * (report.placements.size() + 1);
    if (sum > report.memoryUsed.count + slack)
        return makeReportError(
                fmt::format("placements hold {} bytes of memory, but only {} are used", sum,
                            report.memoryUsed.count),
                "placements");
    return boost::outcome_v2::success();
}

} // namespace

Result<EngineReport> checkReport(EngineReport report, const ReportExpectation &expected)
{
    if (report.running > maxReportedRequests || report.waiting > maxReportedRequests)
        return makeReportError(fmt::format("{} running and {} waiting requests exceed the limit",
                                           report.running, report.waiting),
                               "running");
    BOOST_OUTCOME_TRYV(checkMemory(report, expected));
    BOOST_OUTCOME_TRYV(checkPlacements(report, expected));
    return report;
}

} // namespace bamboochute::upstream
