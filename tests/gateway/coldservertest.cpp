#include "fleetbounds.h"

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(8);
constexpr absl::Duration COLD_TIME = absl::Seconds(90);

/** A fleet in whose first region all engines are cold. */
struct ColdFleet
{
    explicit ColdFleet(std::uint64_t seed, int instances = INSTANCES, double rate = COLD_RATE)
        : fleet(seed, {{instances, 3, 2}, {4, 4, 2}, rate}),
          coldRate(rate)
    {
        for (std::size_t engine = 0; engine < COLD_ENGINES; ++engine) {
            fleet.makeCold(engine, COLD_TIME);
        }
        from = fleet.now() + absl::Milliseconds(100);
        play(absl::Seconds(3));
    }

    /** Requests to the instances of the region, more than its engines may get. */
    void play(absl::Duration time)
    {
        const absl::Time end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.askInRegion(0, {"sys", absl::StrCat("doc", fleet.randomInt(30))});
            fleet.advance(REQUEST_PERIOD);
        }
    }

    void check() const
    {
        for (std::size_t engine = 0; engine < COLD_ENGINES; ++engine) {
            CHECK(fleet.mostArrivals(engine, from, absl::Seconds(1)) <= allowedCold(coldRate));
        }
    }

    static constexpr int INSTANCES = 6;
    static constexpr double COLD_RATE = 2;
    static constexpr std::size_t COLD_ENGINES = 4;
    EngineFleet fleet;
    double coldRate;
    absl::Time from;
};

} // namespace

// Guards against several instances that each take themselves for the one that sends to a cold backend server, because they do not hear each other (FAILBACK).
TEST_CASE("a cold backend server gets no more than it bears while the instances of its region are cut off from each other")
{
    const std::uint64_t seed = GENERATE(301, 302, 303);
    ColdFleet cold(seed);
    cold.fleet.partition({{0}, {1}, {2}, {3}, {4}, {5}});
    cold.play(absl::Seconds(15));
    cold.fleet.partition({});
    cold.play(absl::Seconds(5));
    INFO("seed " << seed);
    cold.check();
}

// Guards against two instances that send to a cold backend server in the same second, the one before and the one after a change of the members.
TEST_CASE("a cold backend server gets no more than it bears while instances restart, freeze and join")
{
    const std::uint64_t seed = GENERATE(311, 312, 313);
    ColdFleet cold(seed);
    for (std::size_t instance = 0; instance < ColdFleet::INSTANCES; ++instance) {
        cold.fleet.kill(instance);
        cold.play(absl::Milliseconds(400));
        cold.fleet.start(instance);
        cold.play(absl::Seconds(2));
        cold.fleet.setFrozen(instance, true);
        cold.play(absl::Seconds(3));
        cold.fleet.setFrozen(instance, false);
        cold.play(absl::Seconds(1));
    }
    cold.fleet.addInstance(0);
    cold.play(absl::Seconds(3));
    cold.fleet.addInstance(0);
    cold.play(absl::Seconds(5));
    INFO("seed " << seed);
    cold.check();
}

// Guards against instances that see different members, because the announcements are gone from the store and come again one after the other.
TEST_CASE("a cold backend server gets no more than it bears while the announcements of the instances are lost")
{
    const std::uint64_t seed = GENERATE(321, 322, 323);
    ColdFleet cold(seed);
    cold.fleet.setStoreCut(1, true);
    cold.fleet.removeStoredMembers();
    cold.play(absl::Seconds(6));
    cold.fleet.setStoreCut(1, false);
    cold.play(absl::Seconds(6));
    INFO("seed " << seed);
    cold.check();
}

// Guards against instances that start together and each miss others of the region among the members, because they were linked to them before they read the
// store, which still has the announcements of the processes before (FAILBACK).
TEST_CASE("a cold backend server gets no more than it bears while most instances of its region start together")
{
    constexpr int INSTANCES = 16;
    constexpr double RATE = 2.7;
    constexpr int DELAY_MS = 1500;
    const std::uint64_t seed = GENERATE(341, 342, 343, 344);
    ColdFleet cold(seed, INSTANCES, RATE);
    const auto delay = [&cold] {
        return absl::Milliseconds(1 + cold.fleet.randomInt(DELAY_MS));
    };
    for (std::size_t instance = 1; instance < INSTANCES; ++instance) {
        cold.fleet.kill(instance);
    }
    cold.play(absl::Milliseconds(300));
    for (std::size_t instance = 1; instance < INSTANCES; ++instance) {
        const absl::Duration readDelay = delay();
        cold.fleet.start(instance, readDelay, readDelay + 2 * delay());
    }
    cold.play(absl::Seconds(10));
    INFO("seed " << seed);
    cold.check();
}

// Guards against a sender that decides at an even pace but is so busy, or whose connections take so long, that its requests leave together (FAILBACK).
TEST_CASE("a cold backend server gets no more than it bears from instances that fall behind with what they have decided")
{
    constexpr absl::Duration BUSY_TIME = absl::Milliseconds(2500);
    constexpr double RATE = 2.7;
    const std::uint64_t seed = GENERATE(351, 352, 353);
    ColdFleet cold(seed, ColdFleet::INSTANCES, RATE);
    for (int round = 0; round < 4; ++round) {
        for (std::size_t instance = 0; instance < ColdFleet::INSTANCES; ++instance) {
            cold.fleet.setBusy(instance, BUSY_TIME);
        }
        cold.play(BUSY_TIME + absl::Seconds(2));
    }
    INFO("seed " << seed);
    cold.check();
}

// Guards against instances that disagree on the members because one of them is linked to a process whose announcement is still that of the one before.
TEST_CASE("a member counts as announced while the store has only the announcement of its earlier process")
{
    core::VirtualTimerService timers;
    gateway::FleetView fleet(GatewayFixture::member("gw-1", "north"), timers);
    gateway::Member restarted = GatewayFixture::member("gw-2", "north");
    const gateway::Member earlier = restarted;
    ++restarted.incarnation;
    fleet.linkUp(restarted);
    fleet.announceMember(earlier);
    const std::vector<core::InstanceId> members = fleet.announcedRegionMembers();
    CHECK(std::find(members.begin(), members.end(), restarted.id) != members.end());
    CHECK(fleet.membersToLink() == std::vector<gateway::Member>{restarted});
}

// Guards against three senders: one by a list that was confirmed seconds ago, and one after the other by newer ones.
TEST_CASE("an instance becomes the sender to a cold backend server when no other can still take itself for it")
{
    constexpr absl::Duration LIFETIME = absl::Seconds(9);
    /** An older list is in use for this part of the lifetime after its confirmation, and the bound counts within one second. */
    const absl::Duration olderListsUsed = 0.6 * LIFETIME + absl::Seconds(1);
    const core::InstanceId self("gw-1");
    const core::BackendServerId server("s1");
    core::VirtualTimerService timers;
    gateway::ColdPacing pacing(self, timers);
    pacing.setAnnouncementLifetime(LIFETIME);
    pacing.setMembers({self});
    const absl::Time listedAt = timers.now();
    while (timers.now() < listedAt + olderListsUsed) {
        pacing.confirmMembers(timers.now());
        CHECK_FALSE(pacing.isSender(server));
        timers.advance(absl::Milliseconds(100));
    }
    timers.advance(absl::Milliseconds(500));
    pacing.confirmMembers(timers.now());
    CHECK(pacing.isSender(server));
}

// Guards against a bound that is kept by sending nothing.
TEST_CASE("a cold backend server gets about as many requests as it bears")
{
    const std::uint64_t seed = GENERATE(331, 332, 333);
    ColdFleet cold(seed);
    const absl::Time begin = cold.fleet.now();
    cold.play(absl::Seconds(10));
    const std::vector<EngineArrival> &arrivals = cold.fleet.allArrivals();
    const auto isCounted = [&](const EngineArrival &arrival) {
        return arrival.at >= begin && absl::StartsWith(arrival.server.value(), "e-0-");
    };
    const auto count = std::count_if(arrivals.begin(), arrivals.end(), isCounted);
    INFO("seed " << seed);
    // Half of what the four engines bear in ten seconds.
    CHECK(count >= static_cast<int>(ColdFleet::COLD_RATE * ColdFleet::COLD_ENGINES * 10 / 2));
}
