#include "snipeferry/gateway/rolloutguard.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <random>

using namespace snipeferry;

namespace {

const core::ServiceId BOOKING("booking");
const core::VersionId OLD("v1");
const core::VersionId NEW("v2");

/** Several instances that decide about one rollout, with a store in which the first decision stands. */
struct RolloutFleet
{
    /** Whether the new version fails a request, by time since the order and route; and the factor of its time. */
    using Failure = std::function<bool(absl::Duration, int)>;

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
        start = timers.now();
        for (const std::unique_ptr<gateway::RolloutGuard> &guard : guards) {
            guard->order({BOOKING, NEW, absl::Seconds(12)}, 7);
        }
    }

    void run(const Failure &fails, double slowness)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        for (int step = 0; step < 1240; ++step) {
            timers.advance(absl::Milliseconds(10));
            const absl::Duration age = timers.now() - start;
            for (std::size_t index = 0; index < guards.size(); ++index) {
                if (draw(random) < 0.4) {
                    request(*guards[index], age, fails, slowness);
                }
                if (step % 100 == static_cast<int>(index)) {
                    exchange(index);
                }
            }
        }
    }

    void request(gateway::RolloutGuard &guard, absl::Duration age, const Failure &fails, double slowness)
    {
        const int route = static_cast<int>(random() % 2);
        const gateway::VersionChoice choice = guard.choose(BOOKING);
        const bool isNew = choice.only == NEW;
        if (age < absl::Seconds(12)) {
            ++all;
            atNew += isNew ? 1 : 0;
        }
        const bool hasFailed = isNew ? fails(age, route) : random() % 20 == 0;
        if (isNew && hasFailed && ++bad == 50) {
            fiftiethBad = age;
        }
        lastNew = isNew ? age : lastNew;
        guard.observe(BOOKING, absl::StrCat("route-", route), isNew ? NEW : OLD, hasFailed, absl::Milliseconds(isNew ? 30 * slowness : 30));
    }

    void exchange(std::size_t from)
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
    absl::Time start;
    absl::Time decidedAt;
    int all = 0;
    int atNew = 0;
    int bad = 0;
    absl::Duration fiftiethBad = absl::InfiniteDuration();
    absl::Duration lastNew;
};

} // namespace

TEST_CASE("a good version is completed by its time limit")
{
    RolloutFleet fleet(8, GENERATE(1, 2, 3, 4, 5));
    fleet.run([&](absl::Duration, int) { return fleet.random() % 20 == 0; }, 1);
    REQUIRE_FALSE(fleet.decisions.empty());
    CHECK(fleet.decisions.front() == gateway::RolloutState::Completed);
    CHECK(fleet.decidedAt - fleet.start < absl::Seconds(12));
    CHECK(fleet.guards[0]->choose(BOOKING).only == NEW);
}

TEST_CASE("a bad version is reverted, gets little, and nothing soon after its fault shows")
{
    // Patterns: fails at once; fails late; fails on one route only; is slow.
    const int pattern = GENERATE(0, 1, 2, 3);
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    INFO("pattern " << pattern << " seed " << seed);
    RolloutFleet fleet(8, seed);
    fleet.run(
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
    CHECK(fleet.decidedAt - fleet.start < absl::Seconds(12));
    CHECK(fleet.atNew <= 0.1 * fleet.all + 50);
    CHECK((fleet.bad < 50 || fleet.lastNew <= fleet.fiftiethBad + absl::Seconds(5)));
    CHECK(fleet.guards[0]->choose(BOOKING).never == NEW);
}

TEST_CASE("a version whose fault shows only under full load still gets no more than its bound")
{
    RolloutFleet fleet(8, 3);
    fleet.run([&](absl::Duration age, int) { return age > absl::Milliseconds(11'280) && fleet.random() % 2 == 0; }, 1);
    CHECK(fleet.atNew <= 0.1 * fleet.all + 50);
}

TEST_CASE("a version that nobody asked is taken back, not completed")
{
    RolloutFleet fleet(3, 1);
    fleet.timers.advance(absl::Seconds(12));
    REQUIRE(fleet.decisions.size() == 1);
    CHECK(fleet.decisions.front() == gateway::RolloutState::Reverted);
}

TEST_CASE("what the store holds goes before an own decision, and a newer order before an old one")
{
    RolloutFleet fleet(1, 1);
    fleet.guards[0]->stored(BOOKING, 7, gateway::RolloutState::Reverted);
    CHECK(fleet.guards[0]->choose(BOOKING).never == NEW);
    fleet.guards[0]->order({BOOKING, NEW, absl::Seconds(12)}, 6);
    CHECK(fleet.guards[0]->choose(BOOKING).never == NEW);
    fleet.guards[0]->withdraw(BOOKING);
    CHECK(fleet.guards[0]->choose(BOOKING).never.isEmpty());
}

TEST_CASE("an instance that starts during a rollout takes its age from the others")
{
    RolloutFleet fleet(2, 1);
    fleet.timers.advance(absl::Seconds(11));
    gateway::RolloutGuard late(core::InstanceId("gw-9"), 1, fleet.timers);
    late.order({BOOKING, NEW, absl::Seconds(12)}, 7);
    late.receive(core::InstanceId("gw-0"), fleet.guards[0]->reports());
    CHECK(late.reports().front().age >= absl::Seconds(11));
}
