#include "gatewayfixture.h"
#include "snipeferry/supervision/supervisor.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

using namespace snipeferry;
using tests::GatewayFixture;

TEST_CASE("a request is called not run only when no connection came up")
{
    // A port that was just given back refuses connections.
    std::string closedAddress;
    {
        standins::ThreadedServer server([](const http::HttpRequest &, const standins::ClientProbe &) { return standins::StandinAnswer(); });
        closedAddress = server.start(0).value();
    }
    const GatewayFixture refused(http::CallerServerSettings(), closedAddress);
    refused.call("POST", "/services/script/run", "x");
    CHECK(refused.record().failuresNotRun == 1);
    CHECK(refused.record().failuresMaybeRun == 0);

    GatewayFixture aborted;
    aborted.enginePage("/control", R"({"abortAfterTokens":0})");
    aborted.call("POST", "/v1/chat/completions", tests::chatBody("x", true));
    CHECK(aborted.record().failuresNotRun == 0);
    CHECK(aborted.record().failuresMaybeRun == 1);
}

TEST_CASE("a failed part is logged, restarted with backoff, and makes the instance not healthy meanwhile")
{
    core::VirtualTimerService timers;
    std::vector<std::string> events;
    supervision::SupervisorSettings settings;
    settings.checkInterval = absl::Milliseconds(1);
    settings.firstBackoff = absl::Milliseconds(5);
    supervision::Supervisor supervisor(timers, settings, [&](const core::LogEvent &event) { events.push_back(core::formatLogLine(event)); });
    bool isRunning = true;
    int starts = 0;
    std::vector<std::string> stops;
    supervisor.add({"first", []() -> core::Expected<void> { return {}; }, [&] { stops.emplace_back("first"); },
        [] {
            return true;
        }});
    supervisor.add({"second",
        [&]() -> core::Expected<void> {
            // The second start fails, the third works again.
            if (++starts == 2) {
                return tl::make_unexpected(core::makeError(core::ErrorKind::Internal, "port taken"));
            }
            isRunning = true;
            return {};
        },
        [&] { stops.emplace_back("second"); },
        [&] {
            return isRunning;
        }});
    REQUIRE(supervisor.start().has_value());
    CHECK(supervisor.isHealthy());
    isRunning = false;
    timers.advance(settings.checkInterval);
    CHECK_FALSE(supervisor.isHealthy());
    // The first try comes after the first backoff and fails, the second after twice that.
    timers.advance(settings.firstBackoff - settings.checkInterval);
    CHECK(starts == 1);
    timers.advance(settings.checkInterval);
    CHECK(starts == 2);
    CHECK_FALSE(supervisor.isHealthy());
    timers.advance(2 * settings.firstBackoff);
    CHECK(starts == 3);
    CHECK(supervisor.isHealthy());
    CHECK_FALSE(supervisor.hasFailed());
    supervisor.stop();
    CHECK(stops == std::vector<std::string>{"second", "second", "first"});
    const std::vector<std::string> expected = {"event=part_started part=first", "event=part_started part=second",
        "event=part_failed part=second reason=\"not running\"", "event=part_failed part=second reason=\"port taken\"", "event=part_restarted part=second",
        "event=part_stopped part=second", "event=part_stopped part=first"};
    CHECK(events == expected);
}

TEST_CASE("a start that fails stops the parts that had started")
{
    core::VirtualTimerService timers;
    supervision::Supervisor supervisor(timers, {}, [](const core::LogEvent &) {});
    int stops = 0;
    supervisor.add({"first", []() -> core::Expected<void> { return {}; }, [&] { ++stops; },
        [] {
            return true;
        }});
    supervisor.add({"second", []() -> core::Expected<void> { throw std::runtime_error("no"); }, [&] { ++stops; },
        [] {
            return true;
        }});
    CHECK_FALSE(supervisor.start().has_value());
    CHECK(stops == 1);
    CHECK_FALSE(supervisor.isHealthy());
}
