#include "upstream/engine_report.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace bamboochute::upstream {

namespace {

/// Vendors round to this much.
constexpr std::uint64_t roundingBytes = 1 << 20;

std::string describe(const Target &target)
{
    if (target.adapter.isEmpty())
        return target.model.value();
    return target.model.value() + ":" + target.adapter.value();
}

Error distrusted(std::string message, std::string field)
{
    return Error(ErrorKind::ReportDistrusted, std::move(message), std::move(field));
}

Result<void> checkPlacements(const EngineReport &report, const ReportExpectation &expected)
{
    std::set<Target> seen;
    for (const PlacementReport &placement : report.placements) {
        const Target &target = placement.target;
        if (!seen.insert(target).second)
            return distrusted(fmt::format("target \"{}\" is listed twice", describe(target)),
                              "placements");
        const auto *const known = expected.knownTargets;
        if (known && std::find(known->begin(), known->end(), target) == known->end())
            return distrusted(fmt::format("target \"{}\" does not exist", describe(target)),
                              "placements");
    }
    for (const Target &target : seen) {
        if (!target.adapter.isEmpty() && !seen.contains(Target{target.model, AdapterId()}))
            return distrusted(fmt::format("adapter \"{}\" is listed without its base model",
                                          describe(target)),
                              "placements");
    }
    return boost::outcome_v2::success();
}

Result<void> checkMemory(const EngineReport &report, const ReportExpectation &expected)
{
    if (report.memoryUsed > report.memoryTotal)
        return distrusted(fmt::format("{} bytes are used of {}", report.memoryUsed.count,
                                      report.memoryTotal.count),
                          "memory");
    if (report.memoryTotal.count + roundingBytes < expected.memory.count)
        return distrusted(fmt::format("it has {} bytes, and {} are configured",
                                      report.memoryTotal.count, expected.memory.count),
                          "memory");
    std::uint64_t sum = 0;
    for (const PlacementReport &placement : report.placements)
        sum += placement.memory.count;
    const std::uint64_t slack = roundingBytes * (report.placements.size() + 1);
    if (sum > report.memoryUsed.count + slack)
        return distrusted(fmt::format("placements hold {} bytes, and {} are used", sum,
                                      report.memoryUsed.count),
                          "placements");
    return boost::outcome_v2::success();
}

} // namespace

Result<EngineReport> checkReport(EngineReport report, const ReportExpectation &expected)
{
    if (report.running > maxReportedRequests || report.waiting > maxReportedRequests)
        return distrusted(
                fmt::format("{} requests run and {} wait", report.running, report.waiting),
                "running");
    BOOST_OUTCOME_TRYV(checkMemory(report, expected));
    BOOST_OUTCOME_TRYV(checkPlacements(report, expected));
    return report;
}

} // namespace bamboochute::upstream
