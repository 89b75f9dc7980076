#include "snipeferry/gateway/rolloutguard.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <random>

using namespace snipeferry;

namespace {

const core::ServiceId SERVICE("booking");
const core::VersionId OLD_VERSION("v1");
const core::VersionId NEW_VERSION("v2");

/** Several instances that decide about one rollout. The first decision counts, as it does in the store. */
struct RolloutFleet
{
    /** Whether the new version fails a request, given the time since the order and the route. */
    using FailureRule = std::function<bool(absl::Duration, int)>;

    RolloutFleet(int count, std::uint64_t seed)
        : random(seed)
    {
        std::vector<core::InstanceId> ids;
        ids.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            ids.push_back(core::InstanceId(absl::StrCat("gw-", index)));
        }
        for (const core::InstanceId &id : ids) {
            guards.push_back(std::make_unique<gateway::RolloutGuard>(id, random(), timers));
            guards.back()->setInstances(ids);
            guards.back()->decided().subscribe([this](const gateway::RolloutDecision &decision) {
                if (decision.state == gateway::RolloutState::Completed || decision.state == gateway::RolloutState::Reverted) {
                    decisions.push_back(decision.state);
                    decidedAt = timers.now();
                }
            });
        }
        orderedAt = timers.now();
        for (const std::unique_ptr<gateway::RolloutGuard> &guard : guards) {
            guard->order({SERVICE, NEW_VERSION, absl::Seconds(12)}, 7);
        }
    }

    void simulate(const FailureRule &failureRule, double latencyFactor)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        for (int step = 0; step < 1240; ++step) {
            timers.advance(absl::Milliseconds(10));
            const absl::Duration age = timers.now() - orderedAt;
            for (std::size_t index = 0; index < guards.size(); ++index) {
                if (draw(random) < 0.4) {
                    request(*guards[index], age, failureRule, latencyFactor);
                }
                if (step % 100 == static_cast<int>(index)) {
                    sendReports(index);
                }
            }
        }
    }

    void request(gateway::RolloutGuard &guard, absl::Duration age, const FailureRule &failureRule, double latencyFactor)
    {
        const int route = static_cast<int>(random() % 2);
        const gateway::VersionChoice choice = guard.choose(SERVICE);
        const bool isNewVersion = choice.only == NEW_VERSION;
        if (age < absl::Seconds(12)) {
            ++requestCount;
            newVersionRequests += isNewVersion ? 1 : 0;
        }
        const bool hasFailed = isNewVersion ? failureRule(age, route) : random() % 20 == 0;
        if (isNewVersion && hasFailed && ++failedRequests == 50) {
            fiftiethFailureAt = age;
        }
        lastNewVersionRequestAt = isNewVersion ? age : lastNewVersionRequestAt;
        guard.observe(SERVICE, absl::StrCat("route-", route), isNewVersion ? NEW_VERSION : OLD_VERSION, hasFailed,
            absl::Milliseconds(isNewVersion ? 30 * latencyFactor : 30));
    }

    /** Requests to engines of which those of the old version are loaded and those of the new one are nearly idle. */
    void simulateLoaded(double slowness)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        for (int step = 0; step < 1240; ++step) {
            timers.advance(absl::Milliseconds(10));
            for (std::size_t index = 0; index < guards.size(); ++index) {
                if (draw(random) < 0.12) {
                    requestLoaded(*guards[index], timers.now() - orderedAt < absl::Seconds(12), slowness);
                }
                if (step % 100 == static_cast<int>(index)) {
                    sendReports(index);
                }
            }
        }
    }

    void requestLoaded(gateway::RolloutGuard &guard, bool isCounted, double slowness)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        std::lognormal_distribution<double> spread(0, 0.55);
        const bool isNewVersion = guard.choose(SERVICE).only == NEW_VERSION;
        requestCount += isCounted ? 1 : 0;
        newVersionRequests += isCounted && isNewVersion ? 1 : 0;
        // The old version is idle now and then, too.
        const double expectedMs = isNewVersion || draw(random) < 0.3 ? 30 + 60 * draw(random) : 90 + 300 * draw(random);
        const absl::Duration latency = absl::Milliseconds(expectedMs * spread(random) * (isNewVersion ? slowness : 1));
        const core::VersionId &version = isNewVersion ? NEW_VERSION : OLD_VERSION;
        guard.observeFirstData(SERVICE, version, latency, absl::Milliseconds(expectedMs));
        guard.observe(SERVICE, "route", version, false, latency);
    }

    void sendReports(std::size_t from)
    {
        for (std::size_t to = 0; to < guards.size(); ++to) {
            if (to != from) {
                guards[to]->receive(core::InstanceId(absl::StrCat("gw-", from)), guards[from]->reports());
            }
        }
    }

    core::VirtualTimerService timers;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<gateway::RolloutGuard>> guards;
    std::vector<gateway::RolloutState> decisions;
    absl::Time orderedAt;
    absl::Time decidedAt;
    int requestCount = 0;
    int newVersionRequests = 0;
    int failedRequests = 0;
    absl::Duration fiftiethFailureAt = absl::InfiniteDuration();
    absl::Duration lastNewVersionRequestAt;
};

} // namespace

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
