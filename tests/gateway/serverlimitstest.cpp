#include "enginefleet.h"

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

/** Time from the first answer that names a limit from which it holds for all instances that are in touch. */
constexpr absl::Duration CONTACT_TIME = absl::Seconds(5);
constexpr absl::Duration LIMIT_SPAN = absl::Seconds(4);
constexpr double LIMIT_FACTOR = 1.5;
constexpr int LIMIT_SLACK = 5;
constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(10);

int allowed(double perSecond)
{
    return static_cast<int>(LIMIT_FACTOR * perSecond * absl::ToDoubleSeconds(LIMIT_SPAN)) + LIMIT_SLACK;
}

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
