#include "peer/datagram.hpp"
#include "peer/dissemination.hpp"
#include "peer/membership.hpp"

#include <array>

namespace bamboochute::peer {

namespace {

template<std::size_t size, typename Value>
std::string_view nameOf(const std::array<std::string_view, size> &names, Value value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < size ? names.at(index) : std::string_view("unknown");
}

} // namespace

std::string_view memberStateName(MemberState state) noexcept
{
    static constexpr std::array<std::string_view, 4> names{"alive", "suspected", "unreachable",
                                                           "gone"};
    return nameOf(names, state);
}

std::string_view goneEvidenceName(GoneEvidence evidence) noexcept
{
    static constexpr std::array<std::string_view, 6> names{"none",
                                                           "left",
                                                           "port_refused",
                                                           "listed_terminated",
                                                           "listed_replaced",
                                                           "later_incarnation"};
    return nameOf(names, evidence);
}

std::string_view topicName(Topic topic) noexcept
{
    static constexpr std::array<std::string_view, topicCount> names{
            "leaving_upstreams", "configuration_root", "placements", "in_force_revision",
            "load_summary"};
    return nameOf(names, topic);
}

std::string_view datagramDropReasonName(DatagramDropReason dropReason) noexcept
{
    static constexpr std::array<std::string_view, datagramDropReasonCount> names{
            "oversized", "malformed", "unauthenticated", "replayed"};
    return nameOf(names, dropReason);
}

std::string_view membershipEventName(MembershipEvent count) noexcept
{
    static constexpr std::array<std::string_view, membershipEventCount> names{
            "probe_sent",        "probe_timed_out",      "indirect_probe_sent", "suspected",
            "refuted",           "declared_unreachable", "declared_gone",       "rejoined",
            "list_contradicted", "hearsay_doubted",      "self_paused",         "table_full"};
    return nameOf(names, count);
}

std::string_view disseminationEventName(DisseminationEvent count) noexcept
{
    static constexpr std::array<std::string_view, disseminationEventCount> names{
            "accepted",   "duplicate",        "stale_fence", "superseded", "pulled",
            "range_sent", "range_incomplete", "queue_full",  "table_full", "oversized"};
    return nameOf(names, count);
}

} // namespace bamboochute::peer
