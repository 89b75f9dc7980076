#include "snipeferry/placement/placementplanner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace snipeferry;
using placement::Assignment;
using placement::Role;

namespace {

const Assignment oldVersion{core::ServiceId("chat"), core::VersionId("v1"), Role::Both};
const Assignment newVersion{core::ServiceId("chat"), core::VersionId("v2"), Role::Both};
const Assignment decodeRole{core::ServiceId("chat"), core::VersionId("v1"), Role::Decode};

placement::Runner runner(const std::string &id, const Assignment &assignment, int busy = 0)
{
    return {core::BackendServerId(id), assignment, false, busy};
}

} // namespace

TEST_CASE("the least busy spare server loads missing assignments within the budget")
{
    const std::vector<placement::Runner> runners = {runner("a", oldVersion, 3), runner("b", oldVersion, 1), runner("c", oldVersion, 2)};
    const std::vector<placement::Demand> demands = {{oldVersion, 1, 100}, {newVersion, 2, 100}};
    const std::vector<placement::Order> oneOrder = planPlacement(runners, demands, {150, 5}, 7);
    REQUIRE(oneOrder.size() == 1);
    CHECK(oneOrder.front() == placement::Order{core::BackendServerId("b"), newVersion, 7, false});
    CHECK(planPlacement(runners, demands, {250, 5}, 7).size() == 2);
    CHECK(planPlacement(runners, demands, {250, 1}, 7).size() == 1);
    CHECK(planPlacement(runners, demands, {50, 5}, 7).empty());
}

TEST_CASE("a change of role needs no weights")
{
    const std::vector<placement::Order> orders
        = placement::planPlacement({runner("a", oldVersion), runner("b", oldVersion)}, {{oldVersion, 1, 100}, {decodeRole, 1, 100}}, {0, 0}, 1);
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().keepsWeights);
    CHECK(orders.front().target == decodeRole);
}

TEST_CASE("cache moves only if that is much faster than computing it again")
{
    placement::CacheMove move{100'000'000, 10'000, 2e9, absl::Milliseconds(55), 8000};
    CHECK(paysToMoveCache(move));
    move.linkBitsPerSecond = 140e6;
    CHECK_FALSE(paysToMoveCache(move));
}

TEST_CASE("plans stay within the budget, take no needed server, and need no other plan after they are carried out")
{
    const bool passed = rc::check("within the budget, no assignment below its demand, and no orders left", [] {
        const std::vector<Assignment> assignments = {oldVersion, newVersion, decodeRole};
        std::vector<placement::Runner> runners;
        const int runnerCount = *rc::gen::inRange(1, 12);
        runners.reserve(static_cast<std::size_t>(runnerCount));
        for (int i = 0; i < runnerCount; ++i) {
            runners.push_back(runner(std::to_string(i), *rc::gen::elementOf(assignments), *rc::gen::inRange(0, 5)));
        }
        std::vector<placement::Demand> demands;
        demands.reserve(assignments.size());
        for (const Assignment &candidate : assignments) {
            demands.push_back({candidate, *rc::gen::inRange(0, 6), 100});
        }
        const placement::PlacementBudget budget{*rc::gen::inRange(0, 2400), *rc::gen::inRange(0, 24)};
        const std::vector<placement::Order> orders = planPlacement(runners, demands, budget, 1);

        std::int64_t loadedBytes = 0;
        std::map<std::string, placement::Runner> runnersById;
        for (const placement::Runner &entry : runners) {
            runnersById[entry.id.value()] = entry;
        }
        for (const placement::Order &order : orders) {
            loadedBytes += order.keepsWeights ? 0 : 100;
            runnersById[order.runner.value()].assignment = order.target;
        }
        RC_ASSERT(loadedBytes <= budget.loadBytes);
        RC_ASSERT(loadedBytes <= 100 * budget.maxLoading);
        std::vector<placement::Runner> runnersAfter;
        runnersAfter.reserve(runnersById.size());
        for (const auto &entry : runnersById) {
            runnersAfter.push_back(entry.second);
        }
        for (const placement::Demand &demand : demands) {
            const auto isAssigned = [&](const placement::Runner &entry) {
                return entry.assignment == demand.assignment;
            };
            const auto countBefore = std::count_if(runners.begin(), runners.end(), isAssigned);
            RC_ASSERT(std::count_if(runnersAfter.begin(), runnersAfter.end(), isAssigned) >= std::min<std::ptrdiff_t>(countBefore, demand.runners));
        }
        if (budget.loadBytes >= 1200 && budget.maxLoading >= 12) {
            RC_ASSERT(planPlacement(runnersAfter, demands, budget, 2).empty());
        }
    });
    CHECK(passed);
}
