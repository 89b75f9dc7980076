#include "enginefleet.h"

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

/** Time within which an instance that is in touch with the others has to act on what the fleet has seen. */
constexpr absl::Duration CONTACT_TIME = absl::Seconds(5);
/** Crashes from which the bound holds, and the requests that may still reach an engine then. */
constexpr std::size_t COUNTED_CRASHES = 5;
constexpr int MAX_LATER_ARRIVALS = 3;
constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(20);

/** Sends sound requests that share their first part and some documents; each fifth holds a part that crashes engines. */
void playCrashingPart(EngineFleet &fleet, absl::Duration time, const std::string &crashingPart)
{
    const absl::Time end = fleet.now() + time;
    for (int count = 0; fleet.now() < end; ++count) {
        const std::string document = absl::StrCat("doc", fleet.randomInt(8));
        if (count % 5 == 0) {
            fleet.ask({"sys", crashingPart});
        } else {
            fleet.ask({"sys", document});
        }
        fleet.advance(REQUEST_PERIOD);
    }
}

} // namespace

// Guards against requests with one prompt part that crash one backend server after the other, because each instance blames the servers alone (BUDGET).
TEST_CASE("a prompt part under which five backend servers have crashed reaches three more at most, from all instances together")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    EngineFleet fleet(seed);
    fleet.setCrashing("bad");
    playCrashingPart(fleet, absl::Seconds(20), "bad");
    const std::vector<absl::Time> &crashes = fleet.crashes("bad");
    const int later = crashes.size() < COUNTED_CRASHES ? 0 : fleet.arrivals("bad", crashes[COUNTED_CRASHES - 1] + CONTACT_TIME);
    INFO("seed " << seed << ": " << crashes.size() << " crashes, " << later << " later arrivals");
    CHECK(later <= MAX_LATER_ARRIVALS);
}

// Guards against sound requests that are lost beside a part that crashes backend servers, by the crashes or by a refusal that is too wide (LOST).
TEST_CASE("sound requests that share parts with one that crashes backend servers are served at the first attempt again")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    EngineFleet fleet(seed);
    fleet.setCrashing("bad");
    playCrashingPart(fleet, absl::Seconds(30), "bad");
    fleet.advance(absl::Seconds(1));
    const std::vector<absl::Time> &crashes = fleet.crashes("bad");
    REQUIRE(!crashes.empty());
    const absl::Time from = crashes[std::min(crashes.size(), COUNTED_CRASHES) - 1] + 2 * CONTACT_TIME;
    const double share = fleet.servedShare(from, fleet.now());
    INFO("seed " << seed << ": " << crashes.size() << " crashes, served share " << share);
    // Outside impairment all are served; half of that is the bound.
    CHECK(share >= 0.5);
}
