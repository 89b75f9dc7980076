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
    explicit ColdFleet(std::uint64_t seed)
        : fleet(seed, {{INSTANCES, 3, 2}, {4, 4, 2}, COLD_RATE})
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
            CHECK(fleet.mostArrivals(engine, from, absl::Seconds(1)) <= allowedCold(COLD_RATE));
        }
    }

    static constexpr int INSTANCES = 6;
    static constexpr double COLD_RATE = 2;
    static constexpr std::size_t COLD_ENGINES = 4;
    EngineFleet fleet;
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
