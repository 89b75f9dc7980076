#include "rolloutfleet.h"

#include <catch2/catch.hpp>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

const std::vector<core::VersionId> EXCLUDED = {NEW_VERSION};

} // namespace

TEST_CASE("a good version is completed by its time limit")
{
    RolloutFleet fleet(8, GENERATE(1, 2, 3, 4, 5));
    fleet.simulate([&](absl::Duration, int) { return fleet.random() % 20 == 0; }, 1);
    REQUIRE_FALSE(fleet.decisions.empty());
    CHECK(fleet.decisions.front() == gateway::RolloutState::Completed);
    CHECK(fleet.decidedAt - fleet.orderedAt < absl::Seconds(12));
    CHECK(fleet.guards[0]->choose(SERVICE, everywhere).only == NEW_VERSION);
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
    CHECK(fleet.guards[0]->choose(SERVICE, everywhere).never == EXCLUDED);
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
    CHECK(fleet.guards[0]->choose(SERVICE, everywhere).never == EXCLUDED);
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
    fleet.guards[0]->decisionStored({SERVICE, 7, gateway::RolloutState::Reverted, {}});
    CHECK(fleet.guards[0]->choose(SERVICE, everywhere).never == EXCLUDED);
    fleet.guards[0]->order({SERVICE, NEW_VERSION, absl::Seconds(12)}, 6);
    CHECK(fleet.guards[0]->choose(SERVICE, everywhere).never == EXCLUDED);
    fleet.guards[0]->withdraw(SERVICE);
    // A withdrawn order puts no version in use that was taken back; only a new order does.
    CHECK(fleet.guards[0]->choose(SERVICE, everywhere).never == EXCLUDED);
    fleet.guards[0]->order({SERVICE, NEW_VERSION, absl::Seconds(12)}, 8);
    fleet.guards[0]->decisionStored({SERVICE, 8, gateway::RolloutState::Completed, {}});
    CHECK(fleet.guards[0]->choose(SERVICE, everywhere).only == NEW_VERSION);
    CHECK(fleet.guards[0]->choose(SERVICE, everywhere).never.empty());
}

TEST_CASE("an instance that starts during a rollout learns the rollout's age from the others")
{
    RolloutFleet fleet(2, 1);
    fleet.timers.advance(absl::Seconds(11));
    gateway::RolloutGuard restarted(core::InstanceId("gw-9"), 1, {}, fleet.timers);
    restarted.order({SERVICE, NEW_VERSION, absl::Seconds(12)}, 7);
    restarted.receive(core::InstanceId("gw-0"), fleet.guards[0]->reports());
    CHECK(restarted.reports().front().age >= absl::Seconds(11));
}

namespace {

/** A guard that has sent some requests to both versions, of which the new one failed this many. */
void observeAnswers(gateway::RolloutGuard &guard, int newFailures, int newAnswers, int oldAnswers)
{
    for (int answer = 0; answer < oldAnswers; ++answer) {
        guard.observe(SERVICE, "route", OLD_VERSION, false, absl::Milliseconds(30));
    }
    for (int answer = 0; answer < newAnswers; ++answer) {
        guard.observe(SERVICE, "route", NEW_VERSION, answer < newFailures, absl::Milliseconds(30));
    }
}

} // namespace

// Guards against evidence that each instance weighs by itself, so that a version fails everywhere a little and nowhere enough (EXPOSURE).
TEST_CASE("failures that each of many instances has seen once take a version back at all of them")
{
    const int count = GENERATE(8, 295);
    RolloutFleet fleet(count, 1);
    for (int index = 0; index < count; ++index) {
        observeAnswers(*fleet.guards[static_cast<std::size_t>(index)], index < 8 ? 1 : 0, index < 12 ? 1 : 0, 6);
    }
    for (std::size_t index = 0; index < fleet.guards.size(); ++index) {
        fleet.sendReports(index);
    }
    fleet.timers.advance(absl::Milliseconds(100));
    for (const std::unique_ptr<gateway::RolloutGuard> &guard : fleet.guards) {
        CHECK(guard->choose(SERVICE, everywhere).never == EXCLUDED);
    }
}

// Guards against evidence that begins again at zero with a process, though the others have seen it.
TEST_CASE("failures that an instance has seen count on after it has started again")
{
    RolloutFleet fleet(3, 1);
    observeAnswers(*fleet.guards[1], 2, 4, 20);
    fleet.sendReports(1);
    gateway::RolloutGuard restarted(core::InstanceId("gw-1"), 5, {}, fleet.timers);
    restarted.order({SERVICE, NEW_VERSION, absl::Seconds(12)}, 7);
    observeAnswers(restarted, 2, 3, 3);
    fleet.guards[0]->receive(core::InstanceId("gw-1"), restarted.reports());
    fleet.guards[2]->receive(core::InstanceId("gw-0"), fleet.guards[0]->reports());
    observeAnswers(*fleet.guards[2], 1, 1, 10);
    // Another region is told the sum, and keeps the larger of two.
    gateway::RolloutGuard remote(core::InstanceId("far"), 6, {}, fleet.timers);
    remote.order({SERVICE, NEW_VERSION, absl::Seconds(12)}, 7);
    remote.receiveRegion(core::RegionId("north"), fleet.guards[0]->regionReports());
    remote.receiveRegion(core::RegionId("north"), restarted.regionReports());
    observeAnswers(remote, 1, 1, 5);
    fleet.timers.advance(absl::Milliseconds(100));
    CHECK(fleet.guards[0]->choose(SERVICE, everywhere).never == EXCLUDED);
    CHECK(remote.choose(SERVICE, everywhere).never == EXCLUDED);
}

// Guards against a version that is in use again because another one is ordered while its backend servers are still up.
TEST_CASE("versions of earlier orders that were not completed get no requests")
{
    RolloutFleet fleet(1, 1);
    gateway::RolloutGuard &guard = *fleet.guards[0];
    const core::VersionId third("v3");
    guard.decisionStored({SERVICE, 7, gateway::RolloutState::Reverted, {}});
    guard.order({SERVICE, third, absl::Seconds(12)}, 9);
    for (int request = 0; request < 100; ++request) {
        CHECK_FALSE(guard.choose(SERVICE, everywhere).permits(NEW_VERSION));
    }
    CHECK_FALSE(guard.permitted(SERVICE, {}).permits(NEW_VERSION));
    // Unless another instance has chosen it, nothing goes to the version on trial either.
    CHECK_FALSE(guard.permitted(SERVICE, {}).permits(third));
    CHECK(guard.permitted(SERVICE, third).permits(third));
    guard.order({SERVICE, NEW_VERSION, absl::Seconds(12)}, 11);
    guard.decisionStored({SERVICE, 11, gateway::RolloutState::Completed, {}});
    CHECK(guard.choose(SERVICE, everywhere).permits(NEW_VERSION));
    CHECK_FALSE(guard.choose(SERVICE, everywhere).permits(third));
}

// Guards against a trial that starts again after all processes have, though the store has its decision.
TEST_CASE("a stored decision that is read before its order holds")
{
    RolloutFleet fleet(1, 1);
    gateway::RolloutGuard started(core::InstanceId("gw-9"), 1, {}, fleet.timers);
    started.decisionStored({SERVICE, 7, gateway::RolloutState::Reverted, {}});
    started.order({SERVICE, NEW_VERSION, absl::Seconds(12)}, 7);
    CHECK(started.choose(SERVICE, everywhere).never == EXCLUDED);
}

// Guards against a version that nothing judges any more once it was completed.
TEST_CASE("a version that fails beyond doubt after it was completed gets no more requests")
{
    RolloutFleet fleet(1, 1);
    gateway::RolloutGuard &guard = *fleet.guards[0];
    observeAnswers(guard, 0, 40, 100);
    guard.decisionStored({SERVICE, 7, gateway::RolloutState::Completed, {}});
    observeAnswers(guard, 20, 200, 0);
    fleet.timers.advance(absl::Milliseconds(100));
    CHECK(guard.choose(SERVICE, everywhere).permits(NEW_VERSION));
    observeAnswers(guard, 60, 80, 0);
    fleet.timers.advance(absl::Milliseconds(100));
    CHECK_FALSE(guard.choose(SERVICE, everywhere).permits(NEW_VERSION));
}

// Guards against requests that are refused because the version that was chosen for them has no backend servers yet.
TEST_CASE("requests go to the old version where the new one has no backend servers")
{
    RolloutFleet fleet(1, 1);
    for (int request = 0; request < 200; ++request) {
        CHECK(fleet.guards[0]->choose(SERVICE, [](const core::VersionId & /*version*/) { return false; }).only.isEmpty());
    }
}
