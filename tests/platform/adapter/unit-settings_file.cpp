#include "settings_file.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::adapter;
using namespace std::chrono_literals;

namespace {

const std::string complete = "node_name=edge-1\nzone=norte\nip=10.1.0.2\n"
                             "listen.frontend=10.1.0.2:8149\nlisten.readiness=10.1.0.2:8141\n"
                             "internal_ports=7380,7395\nplatform.address=10.200.1.7:8142\n"
                             "bounds.grace_s=8\nbounds.lease_ms=3000\n"
                             "bounds.retry_budget_ratio=0.25\nbounds.budget_slack=104\n"
                             "bounds.budget_window_s=10\nbounds.fencing_enforced=true\n"
                             "platform.ttl_min_ms=1000\nsomething.new=x\n";

std::string without(const std::string &name)
{
    std::string text = complete;
    const std::size_t begin = text.find(name + "=");
    return text.erase(begin, text.find('\n', begin) - begin + 1);
}

std::string with(const std::string &name, const std::string &value)
{
    return without(name) + name + "=" + value + "\n";
}

} // namespace

TEST_CASE("a settings file is read; names that are not known are ignored")
{
    const auto settings = parseSettings(complete);
    REQUIRE(settings);
    CHECK(settings.value().instance == InstanceId("edge-1"));
    CHECK(settings.value().dataCentre == DataCentreId("norte"));
    CHECK(settings.value().callers == Endpoint{"10.1.0.2", 8149});
    CHECK(settings.value().peers == Endpoint{"10.1.0.2", 7380});
    CHECK(settings.value().store == Endpoint{"10.200.1.7", 8142});
    CHECK(settings.value().stopTime == 8s);
    CHECK(settings.value().holderPause == 3s);
    CHECK(settings.value().repeatsPerRequest == doctest::Approx(0.25));
    CHECK(settings.value().repeatSlack == doctest::Approx(104));
    CHECK(settings.value().areEnginesFenced);
    CHECK(settings.value().leaveTime == 2s);

    SUBCASE("the bounds in which changes must be in force are the deployment's own")
    {
        const auto slower
                = parseSettings(complete + "bounds.drain_ms=3000\nbounds.config_apply_ms=4500\n");
        REQUIRE(slower);
        CHECK(slower.value().leaveTime == 3s);
        CHECK(slower.value().configurationTime == 4500ms);
    }
}

TEST_CASE("what is missing or wrong is named")
{
    for (const char *name : {"node_name", "zone", "ip", "listen.frontend", "listen.readiness",
                             "internal_ports", "platform.address"}) {
        const auto settings = parseSettings(without(name));
        REQUIRE_FALSE(settings);
        CHECK(settings.error().field() == name);
    }
    CHECK(parseSettings(with("listen.frontend", "10.1.0.2")).error().field() == "listen.frontend");
    CHECK(parseSettings(with("listen.frontend", "host:80")).error().field() == "listen.frontend");
    CHECK(parseSettings(with("platform.address", "10.1.0.2:0")).error().field()
          == "platform.address");
    CHECK(parseSettings(with("bounds.grace_s", "soon")).error().field() == "bounds.grace_s");
    CHECK(parseSettings(with("bounds.lease_ms", "-1")).error().field() == "bounds.lease_ms");
    CHECK(parseSettings(with("internal_ports", "x")).error().field() == "internal_ports");

    SUBCASE("figures that are missing keep their defaults")
    {
        const auto settings = parseSettings(without("bounds.budget_slack"));
        REQUIRE(settings);
        CHECK(settings.value().repeatSlack == doctest::Approx(50));
        CHECK_FALSE(parseSettings(without("bounds.fencing_enforced")).value().areEnginesFenced);
    }

    SUBCASE("a file that can't be read is an error")
    {
        CHECK(readSettingsText("/nonexistent/settings").error().kind()
              == ErrorKind::SettingInvalid);
    }
}
