#include "fleetbounds.h"

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(10);

void play(EngineFleet &fleet, absl::Duration time)
{
    const absl::Time end = fleet.now() + time;
    while (fleet.now() < end) {
        fleet.ask({"sys", absl::StrCat("doc", fleet.randomInt(30))});
        fleet.advance(REQUEST_PERIOD);
    }
}

} // namespace

// Guards against a backend server in need that gets many times the requests that it has asked for, because no instance reads its limit (LIMIT).
TEST_CASE("a backend server that names a limit gets no more than it allows, from all instances together")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    EngineFleet fleet(seed);
    play(fleet, absl::Seconds(3));
    fleet.setLimit(0, 1.0);
    fleet.setLimit(8, 1.7);
    const absl::Time from = fleet.now() + CONTACT_TIME;
    play(fleet, absl::Seconds(20));
    INFO("seed " << seed << ": " << fleet.mostArrivals(0, from, LIMIT_SPAN) << " and " << fleet.mostArrivals(8, from, LIMIT_SPAN));
    CHECK(fleet.mostArrivals(0, from, LIMIT_SPAN) <= allowed(1.0));
    CHECK(fleet.mostArrivals(8, from, LIMIT_SPAN) <= allowed(1.7));
    CHECK(fleet.servedShare(from, fleet.now() - absl::Seconds(1)) > 0.98);
}

// Guards against parts that are rounded up: hundreds of instances, of which each would send a little.
TEST_CASE("hundreds of instances together keep the limit that a backend server names")
{
    EngineFleet fleet(11, FleetShape{{98, 98, 99}, {30, 30, 30}});
    play(fleet, absl::Seconds(4));
    fleet.setLimit(0, 1.0);
    fleet.setLimit(30, 1.7);
    const absl::Time from = fleet.now() + CONTACT_TIME;
    play(fleet, absl::Seconds(12));
    CHECK(fleet.mostArrivals(0, from, LIMIT_SPAN) <= allowed(1.0));
    CHECK(fleet.mostArrivals(30, from, LIMIT_SPAN) <= allowed(1.7));
}

// Guards against a limit that changes and is not followed, or one that holds on after the server has stopped naming it.
TEST_CASE("a limit that rises, falls or ends is followed")
{
    EngineFleet fleet(21);
    fleet.advance(absl::Seconds(4));
    for (const double limit : {20.0, 0.3, 0.0, 6.0}) {
        fleet.setLimit(0, limit);
        play(fleet, absl::Seconds(15));
        INFO("limit " << limit << ": " << fleet.mostArrivals(0, fleet.now() - absl::Seconds(6), LIMIT_SPAN));
        CHECK(fleet.mostArrivals(0, fleet.now() - absl::Seconds(6), LIMIT_SPAN) <= allowed(limit));
    }
    fleet.setLimit(0, std::nullopt);
    play(fleet, absl::Seconds(5));
    const absl::Time from = fleet.now();
    play(fleet, absl::Seconds(10));
    CHECK(fleet.mostArrivals(0, from, LIMIT_SPAN) > 8);
    CHECK(fleet.logLines("limit_ended") > 0);
    fleet.setLimit(0, 10000.0);
    const absl::Time large = fleet.now() + CONTACT_TIME;
    play(fleet, absl::Seconds(10));
    CHECK(fleet.mostArrivals(0, large, LIMIT_SPAN) > 8);
}

// Guards against instances that start, stop, are killed or cut off and send a part that another one has taken over.
TEST_CASE("a limit holds while instances are killed, come back and are cut off")
{
    const std::uint64_t seed = GENERATE(31, 32, 33);
    EngineFleet fleet(seed);
    play(fleet, absl::Seconds(4));
    fleet.setLimit(0, 1.0);
    fleet.setLimit(1, 3.0);
    const absl::Time from = fleet.now() + CONTACT_TIME;
    play(fleet, absl::Seconds(6));
    for (int round = 0; round < 3; ++round) {
        const std::size_t instance = static_cast<std::size_t>(fleet.randomInt(3));
        fleet.kill(instance);
        play(fleet, absl::Seconds(2));
        fleet.start(instance);
        play(fleet, absl::Seconds(4));
        fleet.partition({{instance}});
        fleet.setStoreCut(instance, true);
        play(fleet, absl::Seconds(5));
        fleet.partition({});
        fleet.setStoreCut(instance, false);
        play(fleet, absl::Seconds(3));
    }
    INFO("seed " << seed << ": " << fleet.mostArrivals(0, from, LIMIT_SPAN) << " and " << fleet.mostArrivals(1, from, LIMIT_SPAN));
    CHECK(fleet.mostArrivals(0, from, LIMIT_SPAN) <= allowed(1.0));
    CHECK(fleet.mostArrivals(1, from, LIMIT_SPAN) <= allowed(3.0));
}

// Guards against a new process of a backend server that is held to the limit of the one before.
TEST_CASE("a backend server that starts again has no limit until it names one")
{
    EngineFleet fleet(41);
    play(fleet, absl::Seconds(4));
    fleet.setLimit(0, 1.0);
    play(fleet, absl::Seconds(7));
    fleet.setLimit(0, std::nullopt);
    fleet.crash(0);
    play(fleet, absl::Seconds(6));
    const absl::Time from = fleet.now();
    play(fleet, absl::Seconds(10));
    CHECK(fleet.mostArrivals(0, from, LIMIT_SPAN) > 8);
}

// Guards against callers who wait for a limit, or who all come back together.
TEST_CASE("if all backend servers have named limits, what they cannot take is refused at once with spread times to return")
{
    EngineFleet fleet(51);
    fleet.advance(absl::Seconds(4));
    for (std::size_t engine = 0; engine < fleet.engineCount(); ++engine) {
        fleet.setLimit(engine, 1.0);
    }
    play(fleet, absl::Seconds(10));
    std::set<absl::Duration> times;
    const absl::Time from = fleet.now();
    play(fleet, absl::Seconds(5));
    int refused = 0;
    for (const FleetRequest &request : fleet.requests()) {
        if (request.at < from || !request.answer->error.has_value()) {
            continue;
        }
        ++refused;
        CHECK(request.answer->error->ranState == core::RanState::NotRun);
        REQUIRE(request.answer->error->retryAfter.has_value());
        times.insert(*request.answer->error->retryAfter);
    }
    CHECK(refused > 200);
    CHECK(times.size() > 20);
    for (std::size_t engine = 0; engine < fleet.engineCount(); ++engine) {
        CHECK(fleet.mostArrivals(engine, from, LIMIT_SPAN) <= allowed(1.0));
    }
}
