#include "dutyworld.h"

#include <catch2/catch.hpp>

using namespace snipeferry;
using namespace snipeferry::tests;

TEST_CASE("without trouble every window since the start is reported in time with the true counts")
{
    // Guards against windows that are skipped, late or composed before all regions have written.
    DutyWorld world(1, 5);
    const duties::WindowNumber first = world.window();
    world.run(absl::Seconds(70));
    CHECK(world.goodReports(first, world.window() - 3) == static_cast<int>(world.window() - 2 - first));
    CHECK(world.violation().empty());
    CHECK(world.arrived.size() <= 14);
}

TEST_CASE("another instance takes the duties over from a holder in trouble, after the authority of that one is over")
{
    // Guards against a holder that acts on after it cannot renew, and against one that nobody replaces.
    DutyWorld world(GENERATE(2, 3, 4), 5);
    const std::string trouble = GENERATE("killed", "suspended", "cut off from the store", "cut off from the interface", "stopping");
    INFO(trouble);
    world.runUntilActing();
    DutyNode *before = world.acting();
    REQUIRE(before != nullptr);
    const duties::WindowNumber first = world.window();
    before->isDead = trouble == "killed";
    before->isDrained = trouble == "stopping";
    before->isCutOffFromStore = trouble == "cut off from the store";
    before->isCutOffFromInterface = trouble == "cut off from the interface";
    before->frozenUntil = trouble == "suspended" ? world.now + absl::Seconds(8) : absl::InfinitePast();
    const std::size_t callsBefore = world.arrived.size();
    world.run(absl::Seconds(30));
    DutyNode *after = world.acting();
    REQUIRE(after != nullptr);
    CHECK(after != before);
    for (std::size_t index = callsBefore + 1; index < world.arrived.size(); ++index) {
        CHECK(world.arrived[index].holder != before->name);
    }
    CHECK(world.violation().empty());
    // At most two windows of the time of the handover are lost.
    CHECK(world.goodReports(first, world.window() - 3) >= static_cast<int>(world.window() - 2 - first) - 2);
}

TEST_CASE("a holder that was suspended for a time within its lease goes on, and acts only after its next confirmed renewal")
{
    DutyWorld world(5);
    world.runUntilActing();
    DutyNode *holder = world.acting();
    REQUIRE(holder != nullptr);
    holder->frozenUntil = world.now + absl::Seconds(3);
    world.run(absl::Seconds(3) - absl::Milliseconds(20));
    CHECK_FALSE(holder->holder->mayAct());
    world.run(absl::Seconds(2));
    CHECK(world.acting() == holder);
    CHECK(world.violation().empty());
}

TEST_CASE("nobody acts while the store is down, and the holder goes on after its next renewal")
{
    DutyWorld world(6);
    world.runUntilActing();
    DutyNode *holder = world.acting();
    REQUIRE(holder != nullptr);
    world.isStoreDown = true;
    world.run(absl::Seconds(3));
    const std::size_t calls = world.arrived.size();
    world.run(absl::Seconds(7));
    CHECK(world.acting() == nullptr);
    CHECK(world.arrived.size() == calls);
    world.isStoreDown = false;
    world.run(absl::Seconds(3));
    CHECK(world.acting() == holder);
    world.run(absl::Seconds(10));
    CHECK(world.violation().empty());
}

TEST_CASE("a slow store makes reports late at most, and a call is never sent beyond the authority")
{
    DutyWorld world(7);
    const duties::WindowNumber first = world.window();
    world.storeDelay = absl::Milliseconds(1200);
    world.run(absl::Seconds(60));
    CHECK(world.violation().empty());
    CHECK(world.goodReports(first, world.window() - 3) >= 8);
}

TEST_CASE("a report that a restored store has lost is not composed again")
{
    // Guards against a second report with other counts for a window that was reported after the copy was made.
    DutyWorld world(GENERATE(range(8, 28)));
    world.changedUsage = 1;
    world.runUntilActing();
    world.run(absl::Seconds(10) + world.between(0, 5000));
    const std::size_t lost = world.arrived.size();
    // The copy may also be from the time before the first acquisition.
    world.restore(world.chance(0.3) ? absl::Minutes(1) : world.between(0, 6000));
    if (world.chance(0.5) && world.acting() != nullptr) {
        world.acting()->isDead = true;
    }
    world.run(absl::Seconds(40));
    CHECK(world.violation().empty());
    CHECK(world.arrived.size() > lost + 2);
}

TEST_CASE("a holder that does not see that the store has come back without its record does not act in turns with the next one")
{
    DutyWorld world(GENERATE(range(40, 60)), 5);
    world.runUntilActing();
    world.run(absl::Seconds(10) + world.between(0, 5000));
    REQUIRE(world.acting() != nullptr);
    world.isInterfaceRefusing = true;
    world.run(world.between(1000, 5000));
    world.acting()->isCutOffFromStore = true;
    world.restore(absl::Minutes(2));
    world.run(absl::Seconds(20));
    INFO(world.violation());
    CHECK(world.violation().empty());
}

TEST_CASE("a report waits for a region that writes its sums late")
{
    DutyWorld world(33);
    const duties::WindowNumber first = world.window();
    world.southDelay = absl::Milliseconds(5500);
    world.run(absl::Seconds(60));
    CHECK(world.goodReports(first, world.window() - 3) == static_cast<int>(world.window() - 2 - first));
}

TEST_CASE("an acquisition whose answer is lost is made again with a higher token")
{
    DutyWorld world(30, 1);
    world.lostAnswer = 1;
    world.run(absl::Seconds(2));
    world.lostAnswer = 0;
    CHECK(world.acting() == nullptr);
    world.run(absl::Seconds(12));
    REQUIRE(world.acting() != nullptr);
    REQUIRE_FALSE(world.arrived.empty());
    CHECK(world.arrived.front().token > (std::int64_t{1} << 40) + 2);
}

TEST_CASE("a holder whose clock is 5 s off reports the true counts in time")
{
    DutyWorld world(31, 1);
    world.nodes[0]->timers.skew = GENERATE(-1, 1) * absl::Seconds(5);
    world.nodes[0]->restart();
    world.run(absl::Seconds(20));
    const duties::WindowNumber first = world.window();
    world.run(absl::Seconds(40));
    CHECK(world.goodReports(first, world.window() - 3) >= static_cast<int>(world.window() - 2 - first) - 1);
    CHECK(world.violation().empty());
}

TEST_CASE("a refused report is sent again with the same bytes, with at most five calls a second")
{
    DutyWorld world(32);
    world.changedUsage = 1;
    world.runUntilActing();
    const std::size_t before = world.arrived.size();
    world.isInterfaceRefusing = true;
    world.run(absl::Seconds(9));
    CHECK(world.arrived.size() > before + 5);
    world.isInterfaceRefusing = false;
    world.run(absl::Seconds(20));
    CHECK(world.violation().empty());
    for (std::size_t index = 5; index < world.arrived.size(); ++index) {
        CHECK(world.arrived[index].at - world.arrived[index - 5].at >= absl::Milliseconds(900));
    }
}

TEST_CASE("what must never happen does not, in random schedules of several holders with every kind of trouble")
{
    // Guards against each of: two reports with other counts, one token twice, a lower token, holders in turns.
    int calls = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        DutyWorld world(seed, 4);
        world.changedUsage = 0.5;
        for (const std::unique_ptr<DutyNode> &node : world.nodes) {
            node->timers.skew = world.chance(0.3) ? world.between(-2000, 2000) : absl::ZeroDuration();
            node->restart();
        }
        for (int step = 0; step < 40; ++step) {
            world.lostRequest = world.chance(0.3) ? 0.3 : 0.02;
            world.lostAnswer = world.chance(0.3) ? 0.4 : 0.02;
            world.lateWrite = world.chance(0.3) ? 0.3 : 0.0;
            world.storeDelay = world.chance(0.2) ? world.between(500, 2000) : absl::Milliseconds(20);
            world.isStoreDown = world.chance(0.05);
            world.isInterfaceDown = world.chance(0.1);
            world.isInterfaceRefusing = world.chance(0.1);
            for (const std::unique_ptr<DutyNode> &node : world.nodes) {
                node->isCutOffFromStore = world.chance(0.1);
                node->isCutOffFromInterface = world.chance(0.1);
                if (world.chance(0.1)) {
                    node->frozenUntil = world.now + world.between(300, 9000);
                }
                if (world.chance(0.03)) {
                    node->restart();
                    node->frozenUntil = absl::InfinitePast();
                }
            }
            if (world.chance(0.04)) {
                world.restore(world.chance(0.2) ? absl::Hours(1) : world.between(0, 20000));
            }
            world.run(world.between(200, 5000));
        }
        INFO("seed " << seed);
        REQUIRE(world.violation().empty());
        calls += static_cast<int>(world.arrived.size());
    }
    // The schedules let the holders act.
    CHECK(calls > 2000);
}
