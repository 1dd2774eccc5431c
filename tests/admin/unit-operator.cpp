#include "admin/configuration_format.hpp"
#include "bamboochute/operator.hpp"
#include "core/digest.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::operators;
using namespace std::chrono_literals;

namespace {

operators::Deployment sample()
{
    return operators::Deployment("assistant")
            .add(Callers("guest").weight(4).enginePriority(1))
            .add(Model("chat@1").memory(gibibytes(20)).replicas(1, 2).onlyIn({"north"}))
            .add(Adapter("quito").on("chat@1").memory(mebibytes(256)))
            .add(engine("worker-1")
                         .pool("workers")
                         .at("127.0.0.1", 9001)
                         .in("north")
                         .memory(gibibytes(80)))
            .add(engine("worker-2")
                         .pool("workers")
                         .at("127.0.0.1", 9002)
                         .in("north")
                         .memory(gibibytes(80)))
            .deadlines(30s, 10min);
}

operators::Configuration configurationOf(const operators::Deployment &deployment)
{
    return operators::Configuration().allow("ana", sha256Hex("secret")).add(deployment);
}

void checkRefused(const operators::Deployment &deployment, const std::string &field,
                  const std::string &value)
{
    const auto text = configurationOf(deployment).print();
    REQUIRE(!text);
    CAPTURE(text.error().message());
    CHECK(text.error().kind() == ErrorKind::ConfigurationInvalid);
    CHECK(text.error().field() == field);
    CHECK(text.error().message().find(value) != std::string::npos);
}

} // namespace

TEST_CASE("the operators' library builds, validates and prints a configuration")
{
    const auto text = configurationOf(sample()).print();
    REQUIRE(text);
    const auto read = admin::readConfiguration(text.value());
    REQUIRE(read);
    CHECK(read.value() == admin::sorted(configurationOf(sample()).value()));

    SUBCASE("the first error is recorded when the invalid value is added")
    {
        operators::Deployment deployment = sample();
        deployment.add(Model("a b").memory(gibibytes(1)));
        REQUIRE(deployment.error());
        CHECK(deployment.error()->field() == "models[1].id");
        checkRefused(deployment, "deployments[0].models[1].id", "a b");
    }
    SUBCASE("a model without memory is rejected")
    {
        checkRefused(sample().add(Model("a@1")), "deployments[0].models[1].memoryBytes", "0");
    }
    SUBCASE("a duplicate identifier is rejected")
    {
        checkRefused(sample().add(Model("chat@1").memory(gibibytes(1))),
                     "deployments[0].models[1].id", "chat@1");
    }
    SUBCASE("maxReplicas above the number of engines is rejected")
    {
        checkRefused(sample().add(Model("a@1").memory(gibibytes(1)).replicas(0, 3)),
                     "deployments[0].models[1].maxReplicas", "3");
    }
}
