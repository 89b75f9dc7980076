#include "rolloutfleet.h"

#include <catch2/catch.hpp>

using namespace snipeferry;
using namespace snipeferry::tests;

TEST_CASE("a good version is completed by its time limit")
{
    RolloutFleet fleet(8, GENERATE(1, 2, 3, 4, 5));
    fleet.simulate([&](absl::Duration, int) { return fleet.random() % 20 == 0; }, 1);
    REQUIRE_FALSE(fleet.decisions.empty());
    CHECK(fleet.decisions.front() == gateway::RolloutState::Completed);
    CHECK(fleet.decidedAt - fleet.orderedAt < absl::Seconds(12));
    CHECK(fleet.guards[0]->choose(SERVICE).only == NEW_VERSION);
}

TEST_CASE("a bad version is reverted, receives few requests, and none soon after its fault shows")
{
    // The new version fails at once, fails late, fails on one route only, or is slow.
    const int pattern = GENERATE(0, 1, 2, 3);
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    INFO("pattern " << pattern << " seed " << seed);
    RolloutFleet fleet(8, seed);
    fleet.simulate(
        [&](absl::Duration age, int route) {
            switch (pattern) {
            case 0:
                return fleet.random() % 2 == 0;
            case 1:
                return age > absl::Seconds(6) && fleet.random() % 2 == 0;
            case 2:
                return route == 0 && fleet.random() % 2 == 0;
            default:
                return false;
            }
        },
        pattern == 3 ? 5 : 1);
    REQUIRE_FALSE(fleet.decisions.empty());
    CHECK(fleet.decisions.front() == gateway::RolloutState::Reverted);
    CHECK(fleet.decidedAt - fleet.orderedAt < absl::Seconds(12));
    CHECK(fleet.newVersionRequests <= 0.1 * fleet.requestCount + 50);
    CHECK((fleet.failedRequests < 50 || fleet.lastNewVersionRequestAt <= fleet.fiftiethFailureAt + absl::Seconds(5)));
    CHECK(fleet.guards[0]->choose(SERVICE).never == NEW_VERSION);
}

// Guards against a roll-out that is completed though the new version is several times slower, because its engines are idle and the old ones are not (EXPOSURE).
TEST_CASE("a version that is several times slower is reverted although its backend servers are nearly idle and the others are loaded")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    INFO("seed " << seed);
    RolloutFleet fleet(8, seed);
    fleet.simulateLoaded(3);
    REQUIRE_FALSE(fleet.decisions.empty());
    CHECK(fleet.decisions.front() == gateway::RolloutState::Reverted);
    CHECK(fleet.newVersionRequests <= 0.1 * fleet.requestCount + 50);
    CHECK(fleet.guards[0]->choose(SERVICE).never == NEW_VERSION);
}

// Guards against a good version that is reverted because its engines have other loads than those of the old one.
TEST_CASE("a good version whose backend servers are nearly idle beside loaded ones is completed")
{
    const std::uint64_t seed = GENERATE(range(1, 41));
    INFO("seed " << seed);
    RolloutFleet fleet(8, seed);
    fleet.simulateLoaded(1);
    REQUIRE_FALSE(fleet.decisions.empty());
    CHECK(fleet.decisions.front() == gateway::RolloutState::Completed);
}

TEST_CASE("a version whose fault shows only under full load still gets no more than its bound")
{
    RolloutFleet fleet(8, 3);
    fleet.simulate([&](absl::Duration age, int) { return age > absl::Milliseconds(11'280) && fleet.random() % 2 == 0; }, 1);
    CHECK(fleet.newVersionRequests <= 0.1 * fleet.requestCount + 50);
}

TEST_CASE("a version that has received no requests is reverted, not completed")
{
    RolloutFleet fleet(3, 1);
    fleet.timers.advance(absl::Seconds(12));
    REQUIRE(fleet.decisions.size() == 1);
    CHECK(fleet.decisions.front() == gateway::RolloutState::Reverted);
}

TEST_CASE("a decision in the store overrides an instance's own, and a newer order overrides an older one")
{
    RolloutFleet fleet(1, 1);
    fleet.guards[0]->decisionStored(SERVICE, 7, gateway::RolloutState::Reverted);
    CHECK(fleet.guards[0]->choose(SERVICE).never == NEW_VERSION);
    fleet.guards[0]->order({SERVICE, NEW_VERSION, absl::Seconds(12)}, 6);
    CHECK(fleet.guards[0]->choose(SERVICE).never == NEW_VERSION);
    fleet.guards[0]->withdraw(SERVICE);
    CHECK(fleet.guards[0]->choose(SERVICE).never.isEmpty());
}

TEST_CASE("an instance that starts during a rollout learns the rollout's age from the others")
{
    RolloutFleet fleet(2, 1);
    fleet.timers.advance(absl::Seconds(11));
    gateway::RolloutGuard restarted(core::InstanceId("gw-9"), 1, fleet.timers);
    restarted.order({SERVICE, NEW_VERSION, absl::Seconds(12)}, 7);
    restarted.receive(core::InstanceId("gw-0"), fleet.guards[0]->reports());
    CHECK(restarted.reports().front().age >= absl::Seconds(11));
}
