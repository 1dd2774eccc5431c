#include "gateway/routing_configuration.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;

namespace {

Route makeRoute(const std::string &id, const std::string &host, const std::string &prefix)
{
    Route route;
    route.id = RouteId(id);
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

} // namespace

TEST_CASE("the route with the longest matching path prefix is found among those of the host")
{
    RoutingConfiguration configuration;
    configuration.routes
            = {makeRoute("all", "desk.example", "/"), makeRoute("chat", "desk.example", "/chat/"),
               makeRoute("deep", "desk.example", "/chat/quick/"),
               makeRoute("other", "shop.example", "/chat/")};
    const RouteIndex index(configuration);
    const auto idOf = [&index](std::string_view host, std::string_view target) {
        const Route *route = index.find(host, target);
        return route == nullptr ? std::string() : route->id.value();
    };
    CHECK(idOf("desk.example", "/chat/quick/1") == "deep");
    CHECK(idOf("desk.example", "/chat/quick") == "chat");
    CHECK(idOf("desk.example", "/chats/1") == "all");
    CHECK(idOf("shop.example", "/chat/") == "other");

    SUBCASE("case and port of the host and the query are ignored")
    {
        CHECK(idOf("DESK.example:8080", "/x?to=/chat/quick/") == "all");
    }

    SUBCASE("no route is found for an unknown host or a path without matching prefix")
    {
        CHECK(idOf("nobody.example", "/chat/1").empty());
        CHECK(idOf("shop.example", "/chat").empty());
        CHECK(idOf("shop.example", "").empty());
    }
}

TEST_CASE("the less urgent priorities of a service's routes are counted without duplicates")
{
    RoutingConfiguration configuration;
    for (const std::uint32_t priority : {0U, 1U, 2U, 2U}) {
        Route route = makeRoute("r" + std::to_string(configuration.routes.size()), "desk.example",
                                "/" + std::to_string(configuration.routes.size()) + "/");
        route.priority = priority;
        route.services = {{ServiceId("assistant"), 1}};
        configuration.routes.push_back(route);
    }
    const RouteIndex index(configuration);
    CHECK(index.countLessUrgentPriorities(ServiceId("assistant"), 0) == 2);
    CHECK(index.countLessUrgentPriorities(ServiceId("assistant"), 1) == 1);
    CHECK(index.countLessUrgentPriorities(ServiceId("assistant"), 2) == 0);
    CHECK(index.countLessUrgentPriorities(ServiceId("rooms"), 0) == 0);
}

TEST_CASE("only idempotent requests and resumable streams may be retried")
{
    Route route;
    route.kind = RequestKind::Idempotent;
    CHECK(route.mayRetry());
    route.kind = RequestKind::NonIdempotent;
    CHECK_FALSE(route.mayRetry());
    route.kind = RequestKind::Stream;
    CHECK_FALSE(route.mayRetry());
    route.isResumable = true;
    CHECK(route.mayRetry());
}

TEST_CASE("the services that may have begun a stream are those of a service's resumable routes")
{
    const ServiceId rooms("rooms");
    const ServiceId halls("halls");
    const ServiceId desks("desks");
    RoutingConfiguration configuration;
    configuration.routes = {makeRoute("split", "desk.example", "/split/"),
                            makeRoute("whole", "desk.example", "/whole/")};
    configuration.routes[0].services = {{rooms, 1}, {halls, 3}};
    configuration.routes[0].isResumable = true;
    configuration.routes[1].services = {{halls, 1}, {desks, 1}};
    const RouteIndex index(configuration);
    CHECK(index.findStreamServices(rooms) == std::set{rooms, halls});
    CHECK(index.findStreamServices(halls) == std::set{rooms, halls});
    CHECK(index.findStreamServices(desks) == std::set{desks});
}
