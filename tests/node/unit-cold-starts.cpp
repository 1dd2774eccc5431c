#include "node/cold_starts.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::node;
using namespace std::chrono_literals;

TEST_CASE("demand for a target summarizes its waiting requests")
{
    boost::asio::io_context loop;
    const Settings settings;
    Metrics metrics;
    ControlContext context{loop, settings, metrics, Incarnation(1), {}};
    std::vector<Target> changes;
    ColdStarts coldStarts(context, [&](const Target &target) { changes.push_back(target); });
    const Target target{ModelId("lease-terms"), {}};
    const TimePoint start{};
    std::vector<caller::Ticket> refused;
    const auto demand = [&](std::uint64_t number, Duration deadline) {
        const caller::Ticket ticket(number);
        coldStarts.demand(ticket, {{}, {}, target, start + deadline},
                          [&refused, ticket](const caller::ColdStartAnswer &answer) {
                              if (std::holds_alternative<Error>(answer))
                                  refused.push_back(ticket);
                          });
        loop.restart();
        loop.run();
    };
    demand(1, 5s);
    demand(2, 2s);

    SUBCASE("the summary has the number of requests and their earliest deadline")
    {
        const DemandSummary sum = coldStarts.demandFor(target);
        CHECK(sum.waiting == 2);
        CHECK(sum.earliestDeadline == start + 2s);
        CHECK(changes.size() == 2);
    }

    SUBCASE("a withdrawn request is no longer counted")
    {
        coldStarts.withdraw(caller::Ticket(2));
        loop.restart();
        loop.run();
        CHECK(coldStarts.demandFor(target).earliestDeadline == start + 5s);
    }

    SUBCASE("only requests with a deadline before the given time are refused, each once")
    {
        coldStarts.refuse(target, Error(ErrorKind::DeadlineUnreachable), start + 3s);
        coldStarts.refuse(target, Error(ErrorKind::DeadlineUnreachable), start + 3s);
        CHECK(refused == std::vector{caller::Ticket(2)});
        CHECK(coldStarts.demandFor(target).waiting == 1);
    }
}
