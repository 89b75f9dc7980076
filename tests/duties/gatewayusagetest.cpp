#include "gateway/fixture.h"

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

gateway::GatewaySettings settingsWithDuties()
{
    gateway::GatewaySettings settings = GatewayFixture::settings();
    settings.self.bootId = 5;
    settings.duties.duties = {"any"};
    return settings;
}

struct UsageFixture : GatewayFixture
{
    UsageFixture()
        : GatewayFixture(settingsWithDuties())
    {
        gateway.regionUsageClosed().subscribe([this](const gateway::RegionUsageClosed &event) {
            for (const auto &count : event.usage.counts) {
                sums[count.first] += count.second;
            }
            ++closedCount;
        });
        start();
    }

    /** Time after which the windows until now are closed. */
    void closeWindows()
    {
        for (int second = 0; second < 8; ++second) {
            confirm();
            timers.advance(absl::Seconds(1));
        }
    }

    duties::UsageCounts sums;
    int closedCount = 0;
};

} // namespace

TEST_CASE("a request counts once when its backend server begins it, and a refused one not at all")
{
    UsageFixture fixture;
    const gateway::Headers key{{"key", "bar-key"}};
    // Whole, cancelled after its first data, lost with its answer, refused, and open without a customer.
    fixture.ask("/keyed/x", key);
    fixture.succeed("ok");
    fixture.ask("/keyed/x", key);
    fixture.gateway.runHead(fixture.lastRun().run, {200, {{"receipt", "x"}}});
    fixture.gateway.runData(fixture.lastRun().run, "o");
    fixture.gateway.requests().callerLeft(fixture.lastRequest);
    fixture.ask("/keyed/x", key);
    fixture.gateway.runFailed(fixture.lastRun().run, true, gateway::REASON_NO_ANSWER);
    fixture.ask("/keyed/x", key);
    fixture.gateway.runFailed(fixture.lastRun().run, false, gateway::REASON_CONNECT_REFUSED);
    fixture.ask("/once/x");
    fixture.succeed("ok");
    fixture.closeWindows();
    CHECK(fixture.sums == duties::UsageCounts{{"bar", 3}});
}

TEST_CASE("the sums of a region contain what other instances tell, but not those of other regions")
{
    UsageFixture fixture;
    const duties::WindowNumber window = duties::windowAt(fixture.timers.now(), absl::Seconds(5));
    const duties::UsageNotice notice{9, absl::ToUnixMillis(fixture.timers.now()), {{window, {{"bar", 4}}}}};
    fixture.gateway.linkUp(GatewayFixture::member("gw-2", "north"));
    fixture.gateway.linkUp(GatewayFixture::member("gw-3", "south"));
    fixture.gateway.received(core::InstanceId("gw-2"), notice);
    fixture.gateway.received(core::InstanceId("gw-3"), notice);
    // The instance that told is gone when the window ends.
    fixture.gateway.linkDown(core::InstanceId("gw-2"));
    fixture.closeWindows();
    CHECK(fixture.sums == duties::UsageCounts{{"bar", 4}});
}

TEST_CASE("counts are told to aggregators of the own region only")
{
    UsageFixture fixture;
    fixture.linkRemote("gw-2", "north");
    fixture.linkRemote("gw-3", "south");
    fixture.timers.advance(absl::Seconds(1));
    int told = 0;
    for (const auto &entry : fixture.links.sent) {
        if (std::holds_alternative<duties::UsageNotice>(entry.second)) {
            CHECK(entry.first == core::InstanceId("gw-2"));
            ++told;
        }
    }
    CHECK(told == 1);
}

TEST_CASE("without duties in the settings nothing is counted, told or written")
{
    GatewayFixture fixture;
    fixture.start();
    int closedCount = 0;
    fixture.gateway.regionUsageClosed().subscribe([&closedCount](const gateway::RegionUsageClosed & /*event*/) { ++closedCount; });
    fixture.linkRemote("gw-2", "north");
    fixture.gateway.received(core::InstanceId("gw-2"), duties::UsageNotice{});
    fixture.ask("/keyed/x", {{"key", "bar-key"}});
    fixture.succeed("ok");
    fixture.timers.advance(absl::Seconds(12));
    CHECK(closedCount == 0);
    CHECK(fixture.links.all<duties::UsageNotice>().empty());
    CHECK(fixture.gateway.usageClock() == nullptr);
}
