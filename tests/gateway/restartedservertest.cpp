#include "fleetbounds.h"

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration COLD_TIME = absl::Seconds(3);
constexpr absl::Duration DOWN_TIME = absl::Milliseconds(1200);
/** A backend server announces itself some time after its start. */
constexpr absl::Duration ANNOUNCE_DELAY = absl::Milliseconds(800);

/** A fleet in whose first region backend servers start again under their identifiers. */
struct RestartFleet
{
    explicit RestartFleet(std::uint64_t seed, FleetShape shape = {{3, 3, 2}, {6, 4, 2}, COLD_RATE})
        : fleet(seed, std::move(shape))
    {
        play(absl::Seconds(3));
    }

    void play(absl::Duration time, absl::Duration requestPeriod = absl::Milliseconds(10))
    {
        const absl::Time end = fleet.now() + time;
        while (fleet.now() < end) {
            fleet.askInRegion(0, {"sys", absl::StrCat("doc", fleet.randomInt(30))});
            fleet.advance(requestPeriod);
        }
    }

    void setStoreCut(bool isCut)
    {
        for (std::size_t instance = 0; instance < fleet.instanceCount(); ++instance) {
            fleet.setStoreCut(instance, isCut);
        }
    }

    /** Checks that an engine is not left without requests for two seconds from a time on. */
    void checkServes(std::size_t engine, absl::Time from) const
    {
        constexpr absl::Duration SPAN = absl::Seconds(2);
        CHECK(fleet.arrivalsAt(engine, from, from + SPAN) >= COLD_RATE * absl::ToDoubleSeconds(SPAN));
    }

    /** Checks the bound for an engine that has started at a time. */
    void checkCold(std::size_t engine, absl::Time startedAt) const
    {
        INFO("engine " << engine << ": " << fleet.arrivalsAt(engine, startedAt, startedAt + ANNOUNCE_DELAY) << " before its announcement");
        CHECK(fleet.mostArrivals(engine, startedAt, absl::Seconds(1), startedAt + COLD_TIME) <= allowedCold(COLD_RATE));
    }

    static constexpr double COLD_RATE = 2;
    EngineFleet fleet;
};

} // namespace

// Guards against a restarted backend server that is taken for the process before until it announces itself (FAILBACK).
TEST_CASE("a backend server that starts again under its identifier gets no more than a cold one bears")
{
    const std::uint64_t seed = GENERATE(361, 362, 363);
    const std::size_t restarted = GENERATE(1, 3);
    const int instances = GENERATE(3, 12);
    RestartFleet restart(seed, {{instances, 3, 2}, {6, 4, 2}, RestartFleet::COLD_RATE});
    for (std::size_t engine = 0; engine < restarted; ++engine) {
        restart.fleet.restart(engine, DOWN_TIME, ANNOUNCE_DELAY);
    }
    const absl::Time crashedAt = restart.fleet.now();
    restart.play(absl::Seconds(8));
    INFO("seed " << seed << ", " << instances << " instances");
    for (std::size_t engine = 0; engine < restarted; ++engine) {
        restart.checkCold(engine, crashedAt + DOWN_TIME);
        restart.checkServes(engine, crashedAt + DOWN_TIME + COLD_TIME + absl::Seconds(1));
    }
    CHECK(restart.fleet.servedShare(crashedAt, restart.fleet.now() - absl::Seconds(1)) > 0.95);
}

// Guards against a restarted backend server that can't announce itself because the store is away: the announcement of the process before stays (FAILBACK).
TEST_CASE("a backend server that starts again while the store is away gets no more than a cold one bears")
{
    const std::uint64_t seed = GENERATE(371, 372, 373);
    RestartFleet restart(seed);
    restart.setStoreCut(true);
    restart.play(absl::Seconds(1));
    restart.fleet.restart(0, DOWN_TIME, absl::Seconds(15));
    const absl::Time startedAt = restart.fleet.now() + DOWN_TIME;
    restart.play(absl::Seconds(10));
    INFO("seed " << seed);
    restart.checkCold(0, startedAt);
    // It serves again before the store is back.
    restart.checkServes(0, startedAt + 2 * COLD_TIME);
}

// Guards against a backend server whose machine was without power, so that no connection was refused: it resets connections only when it is back (FAILBACK).
TEST_CASE("a backend server that starts again after a loss of power gets no more than a cold one bears")
{
    const std::uint64_t seed = GENERATE(381, 382, 383);
    const absl::Duration downTime = GENERATE(absl::Milliseconds(1200), absl::Milliseconds(2500));
    const int instances = GENERATE(3, 12);
    RestartFleet restart(seed, {{instances, 3, 2}, {6, 4, 2}, RestartFleet::COLD_RATE});
    restart.fleet.restart(0, downTime, ANNOUNCE_DELAY, true);
    const absl::Time startedAt = restart.fleet.now() + downTime;
    restart.play(absl::Seconds(8));
    INFO("seed " << seed << ", down for " << downTime);
    restart.checkCold(0, startedAt);
}

// Guards against instances that start while a backend server is down and know only its last announcement (FAILBACK).
TEST_CASE("a restarted backend server gets no more than a cold one bears from instances that start meanwhile")
{
    const std::uint64_t seed = GENERATE(391, 392, 393);
    RestartFleet restart(seed, {{6, 3, 2}, {6, 4, 2}, RestartFleet::COLD_RATE});
    for (std::size_t engine = 0; engine < 3; ++engine) {
        restart.fleet.restart(engine, DOWN_TIME, ANNOUNCE_DELAY);
    }
    const absl::Time startedAt = restart.fleet.now() + DOWN_TIME;
    for (std::size_t instance = 0; instance < 4; ++instance) {
        restart.fleet.kill(instance);
    }
    restart.play(absl::Milliseconds(900));
    for (std::size_t instance = 0; instance < 4; ++instance) {
        restart.fleet.start(instance);
        restart.play(absl::Milliseconds(50));
    }
    restart.play(absl::Seconds(6));
    INFO("seed " << seed);
    for (std::size_t engine = 0; engine < 3; ++engine) {
        restart.checkCold(engine, startedAt);
    }
}

// Guards against an instance that takes the end of all backend servers for lost paths of its own, and sends to them as before when it reaches them (FAILBACK).
TEST_CASE("restarted backend servers get no more than cold ones bear from an instance that took their end for a lost path")
{
    constexpr std::size_t RESTARTED = 6;
    const std::uint64_t seed = GENERATE(431, 432, 433);
    RestartFleet restart(seed);
    for (std::size_t engine = 0; engine < RESTARTED; ++engine) {
        restart.fleet.restart(engine, DOWN_TIME, ANNOUNCE_DELAY);
    }
    const absl::Time startedAt = restart.fleet.now() + DOWN_TIME;
    restart.play(absl::Seconds(6));
    INFO("seed " << seed);
    REQUIRE(restart.fleet.logLines("paths_lost") > 0);
    for (std::size_t engine = 0; engine < RESTARTED; ++engine) {
        restart.checkCold(engine, startedAt);
    }
}

// Guards against a second restart that is taken for the first: each process is cold from its own start on (FAILBACK).
TEST_CASE("a backend server that starts again twice gets no more than a cold one bears")
{
    const std::uint64_t seed = GENERATE(401, 402, 403);
    RestartFleet restart(seed);
    restart.fleet.restart(0, DOWN_TIME, ANNOUNCE_DELAY);
    const absl::Time firstStartedAt = restart.fleet.now() + DOWN_TIME;
    restart.play(DOWN_TIME + absl::Milliseconds(4500));
    restart.checkCold(0, firstStartedAt);
    restart.fleet.restart(0, DOWN_TIME, ANNOUNCE_DELAY);
    const absl::Time startedAt = restart.fleet.now() + DOWN_TIME;
    restart.play(absl::Seconds(6));
    INFO("seed " << seed);
    restart.checkCold(0, startedAt);
}

// Guards against a single answer that breaks off, as a faulty backend server's do now and then, being taken for the end of the process.
TEST_CASE("a backend server of which a single answer breaks off stays warm")
{
    constexpr absl::Duration SPAN = absl::Seconds(2);
    const std::uint64_t seed = GENERATE(411, 412, 413);
    RestartFleet restart(seed);
    int before = 0;
    int after = 0;
    for (int round = 0; round < 5; ++round) {
        restart.play(SPAN);
        const absl::Time brokenAt = restart.fleet.now();
        restart.fleet.breakOff(0);
        restart.play(SPAN);
        before += restart.fleet.arrivalsAt(0, brokenAt - SPAN, brokenAt);
        after += restart.fleet.arrivalsAt(0, brokenAt, restart.fleet.now());
    }
    INFO("seed " << seed << ": " << before << " before, " << after << " after");
    CHECK(after > before / 2);
}

// Guards against one instance's lost path to a backend server, which refuses its connections, being taken by the others for the end of the process.
TEST_CASE("a backend server that one instance does not reach serves the others")
{
    constexpr absl::Duration SPAN = absl::Seconds(3);
    const std::uint64_t seed = GENERATE(421, 422, 423);
    const PathCut cut = GENERATE(PathCut::Reset, PathCut::Silent);
    RestartFleet restart(seed);
    const absl::Time cutAt = restart.fleet.now();
    restart.fleet.setPathCut(0, cut, {0});
    restart.play(SPAN);
    const auto ofOthers = [&restart](absl::Time from, absl::Time to) {
        return restart.fleet.arrivalsAt(0, from, to, 1) + restart.fleet.arrivalsAt(0, from, to, 2);
    };
    INFO("seed " << seed);
    CHECK(ofOthers(cutAt, restart.fleet.now()) > ofOthers(cutAt - SPAN, cutAt) / 2);
}
