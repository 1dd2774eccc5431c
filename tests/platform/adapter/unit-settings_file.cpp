#include "settings_file.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::adapter;
using namespace std::chrono_literals;

namespace {

const std::string completeSettings
        = "node_name=edge-1\nzone=norte\nip=10.1.0.2\n"
          "listen.frontend=10.1.0.2:8149\nlisten.readiness=10.1.0.2:8141\n"
          "internal_ports=7380,7395\nplatform.address=10.200.1.7:8142\n"
          "bounds.grace_s=8\nbounds.lease_ms=3000\n"
          "bounds.retry_budget_ratio=0.25\nbounds.budget_slack=104\n"
          "bounds.budget_window_s=10\nbounds.fencing_enforced=true\n"
          "platform.ttl_min_ms=1000\nsomething.new=x\n";

std::string withoutSetting(const std::string &name)
{
    std::string text = completeSettings;
    const std::size_t begin = text.find(name + "=");
    return text.erase(begin, text.find('\n', begin) - begin + 1);
}

std::string withSetting(const std::string &name, const std::string &value)
{
    return withoutSetting(name) + name + "=" + value + "\n";
}

} // namespace

TEST_CASE("a settings file is parsed and unknown names are ignored")
{
    const auto settings = parseSettings(completeSettings);
    REQUIRE(settings);
    CHECK(settings.value().instance == InstanceId("edge-1"));
    CHECK(settings.value().dataCentre == DataCentreId("norte"));
    CHECK(settings.value().callerEndpoint == Endpoint{"10.1.0.2", 8149});
    CHECK(settings.value().peerEndpoint == Endpoint{"10.1.0.2", 7380});
    CHECK(settings.value().storeEndpoint == Endpoint{"10.200.1.7", 8142});
    CHECK(settings.value().shutdownTime == 8s);
    CHECK(settings.value().handoverPause == 3s);
    CHECK(settings.value().retriesPerRequest == doctest::Approx(0.25));
    CHECK(settings.value().freeRetries == doctest::Approx(104));
    CHECK(settings.value().areEnginesFenced);
    CHECK(settings.value().upstreamLeaveTime == 2s);

    SUBCASE("the times in which changes must be in force are read from the file")
    {
        const auto slower = parseSettings(completeSettings
                                          + "bounds.drain_ms=3000\nbounds.config_apply_ms=4500\n"
                                            "heartbeat_ms=2000\n");
        REQUIRE(slower);
        CHECK(slower.value().heartbeatInterval == 2s);
        CHECK(slower.value().upstreamLeaveTime == 3s);
        CHECK(slower.value().configurationApplyTime == 4500ms);
    }
}

TEST_CASE("the settings say whether the whole system starts for the first time")
{
    CHECK_FALSE(parseSettings(completeSettings).value().isFirstStart);
    CHECK_FALSE(parseSettings(completeSettings + "bootstrap=false\n").value().isFirstStart);
    CHECK(parseSettings(completeSettings + "bootstrap=true\n").value().isFirstStart);
}

// Guards against a pace that takes effect where no deployment calls for it.
TEST_CASE("the pace of upstreams is on only where its setting says so")
{
    const auto isEnabled = [](const std::string &lines) {
        return parseSettings(completeSettings + lines).value().isPaceEnabled;
    };
    CHECK_FALSE(isEnabled(""));
    CHECK_FALSE(isEnabled("pace.enabled=false\ncontracts=quotas,pressures\n"));
    CHECK(isEnabled("pace.enabled=true\n"));
    CHECK_FALSE(isEnabled("contracts=quotas,pressure\n"));
}

TEST_CASE("the limits of the quarantine may be set")
{
    const auto settings = parseSettings(completeSettings
                                        + "quarantine.min_crashes=4\nquarantine.first_pause_s=30\n"
                                          "quarantine.request_min_crashes=2\n"
                                          "quarantine.request_max_trials=0\n"
                                          "quarantine.confirmation_time_s=9\n");
    REQUIRE(settings);
    CHECK(settings.value().quarantine.minCrashes == 4);
    CHECK(settings.value().quarantine.firstPause == 30s);
    CHECK(settings.value().quarantine.longestPause == 3600s);
    CHECK(settings.value().quarantine.requestMinCrashes == 2);
    CHECK(settings.value().quarantine.requestMaxTrials == 0);
    CHECK(settings.value().quarantine.confirmationTime == 9s);
    CHECK(parseSettings(completeSettings + "quarantine.request_min_attempts=0\n").error().field()
          == "quarantine.request_min_attempts");
    CHECK(parseSettings(completeSettings + "quarantine.min_crashes=0\n").error().field()
          == "quarantine.min_crashes");
    CHECK(parseSettings(completeSettings + "quarantine.evidence_age_s=x\n").error().field()
          == "quarantine.evidence_age_s");
}

TEST_CASE("the sharing of upstream limits may be set")
{
    const auto settings = parseSettings(completeSettings + "upstream_limits.burst_s=0.5\n"
                                        + "upstream_limits.issuer_timeout_ms=40\n");
    REQUIRE(settings);
    CHECK(settings.value().upstreamLimits.burstSeconds == doctest::Approx(0.5));
    CHECK(settings.value().upstreamLimits.issuerTimeout == 40ms);
    CHECK(settings.value().upstreamLimits.shareWithoutIssuer == doctest::Approx(0.5));
    CHECK(parseSettings(completeSettings + "upstream_limits.share_without_issuer=2\n")
                  .error()
                  .field()
          == "upstream_limits.share_without_issuer");
}

TEST_CASE("the limits for silent upstreams are read from settings")
{
    const auto settings = parseSettings(completeSettings + "silence.event_gaps=2\n"
                                        + "silence.accept_time_ms=100\n");
    REQUIRE(settings);
    CHECK(settings.value().silence.eventGaps == 2);
    CHECK(settings.value().silence.acceptTime == 100ms);
    CHECK(settings.value().silence.retryInterval == gateway::SilenceLimits().retryInterval);

    SUBCASE("a stream may not run at two upstreams for longer than the platform lets it")
    {
        CHECK(parseSettings(completeSettings + "silence.accept_time_ms=500\n").error().field()
              == "silence.accept_time_ms");
    }
    SUBCASE("an interval that would ask without pause is refused")
    {
        CHECK(parseSettings(completeSettings + "silence.retry_interval_ms=0\n").error().field()
              == "silence.retry_interval_ms");
    }
}

TEST_CASE("settings of forwarded requests and brittle upstreams")
{
    const auto settings
            = parseSettings(completeSettings + "forwarding.max_helped=5\n"
                            + "forwarding.probe_timeout_ms=200\n" + "brittle.cut_factor=0.7\n");
    REQUIRE(settings);
    CHECK(settings.value().forwarding.helpers.maxHelped == 5);
    CHECK(settings.value().forwarding.probeTimeout == 200ms);
    CHECK(settings.value().forwarding.holdTime == gateway::ForwardingSettings().holdTime);
    CHECK(settings.value().brittle.cutFactor == 0.7);

    SUBCASE("values without a meaning are refused by name")
    {
        for (const char *line : {"forwarding.max_helped=0", "forwarding.probe_timeout_ms=0",
                                 "forwarding.asked_instances=20000", "brittle.cut_factor=1",
                                 "brittle.min_rate=0", "upstream.source_address=here"}) {
            const std::string text(line);
            CHECK(parseSettings(completeSettings + text + "\n").error().field()
                  == text.substr(0, text.find('=')));
        }
    }
}

TEST_CASE("an error names the setting that is missing or invalid")
{
    for (const char *name : {"node_name", "zone", "ip", "listen.frontend", "listen.readiness",
                             "internal_ports", "platform.address"}) {
        const auto settings = parseSettings(withoutSetting(name));
        REQUIRE_FALSE(settings);
        CHECK(settings.error().field() == name);
    }
    CHECK(parseSettings(withSetting("listen.frontend", "10.1.0.2")).error().field()
          == "listen.frontend");
    CHECK(parseSettings(withSetting("listen.frontend", "host:80")).error().field()
          == "listen.frontend");
    CHECK(parseSettings(withSetting("platform.address", "10.1.0.2:0")).error().field()
          == "platform.address");
    CHECK(parseSettings(withSetting("bounds.grace_s", "soon")).error().field() == "bounds.grace_s");
    CHECK(parseSettings(withSetting("bounds.lease_ms", "-1")).error().field() == "bounds.lease_ms");
    CHECK(parseSettings(withSetting("internal_ports", "x")).error().field() == "internal_ports");

    SUBCASE("missing optional settings keep their defaults")
    {
        const auto settings = parseSettings(withoutSetting("bounds.budget_slack"));
        REQUIRE(settings);
        CHECK(settings.value().freeRetries == doctest::Approx(50));
        CHECK_FALSE(
                parseSettings(withoutSetting("bounds.fencing_enforced")).value().areEnginesFenced);
    }

    SUBCASE("a file that can't be read is reported as an error")
    {
        CHECK(readSettingsText("/nonexistent/settings").error().kind()
              == ErrorKind::SettingInvalid);
    }
}
