#include "fleetbounds.h"

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(10);
constexpr absl::Duration CUT_TIME = absl::Seconds(12);

/** First tries at some instances. */
struct FirstTries
{
    int asked = 0;
    int served = 0;

    double share() const
    {
        return asked == 0 ? 1.0 : static_cast<double>(served) / asked;
    }
};

/** Sends a mix of requests to all instances alike. */
void play(EngineFleet &fleet, absl::Duration time)
{
    const absl::Time end = fleet.now() + time;
    while (fleet.now() < end) {
        const std::string target = fleet.randomInt(4) == 0 ? "/any/x" : "/stream/x";
        fleet.ask({"sys", absl::StrCat("doc", fleet.randomInt(30))}, target);
        fleet.advance(REQUEST_PERIOD);
    }
}

FirstTries triesAt(const EngineFleet &fleet, const std::set<std::size_t> &instances, bool areThose, absl::Time from, absl::Time to)
{
    FirstTries tries;
    for (const FleetRequest &request : fleet.requests()) {
        if (request.at >= from && request.at < to && (instances.count(request.instance) > 0) == areThose) {
            ++tries.asked;
            tries.served += request.isServed() ? 1 : 0;
        }
    }
    return tries;
}

/** Whether the first tries at cut-off instances are served nearly as often as those at the others, as the users' pages ask. */
bool areServedAlike(const FirstTries &cutOff, const FirstTries &others)
{
    constexpr double SHARE = 2.0 / 3;
    constexpr double PERMITTED_SHARE = 1.0 / 50;
    constexpr double PERMITTED_FAILURES = 10;
    const int failed = cutOff.asked - cutOff.served;
    return cutOff.share() >= SHARE * others.share() || failed <= PERMITTED_FAILURES + PERMITTED_SHARE * cutOff.asked;
}

void cut(EngineFleet &fleet, const std::set<std::size_t> &instances, PathCut kind)
{
    for (const std::size_t instance : instances) {
        fleet.setPathCut(instance, kind);
    }
}

} // namespace

// Guards against instances that refuse their callers because they are cut off from the backend servers, while others of the region reach them (RECOVER).
TEST_CASE("callers of instances that are cut off from all backend servers are served by the others")
{
    const std::uint64_t seed = GENERATE(401, 402, 403);
    const PathCut kind = GENERATE(PathCut::Silent, PathCut::Reset, PathCut::NewRefused);
    const std::set<std::size_t> instances = GENERATE(std::set<std::size_t>{0, 1, 3, 4, 6}, std::set<std::size_t>{1, 5});
    EngineFleet fleet(seed);
    play(fleet, absl::Seconds(3));
    const absl::Time cutAt = fleet.now();
    cut(fleet, instances, kind);
    play(fleet, CUT_TIME);
    const absl::Time healedAt = fleet.now();
    cut(fleet, instances, PathCut::None);
    play(fleet, absl::Seconds(3));
    fleet.advance(absl::Seconds(5));
    const FirstTries cutOff = triesAt(fleet, instances, true, cutAt + CONTACT_TIME, healedAt);
    const FirstTries others = triesAt(fleet, instances, false, cutAt + CONTACT_TIME, healedAt);
    INFO("seed " << seed << " kind " << static_cast<int>(kind) << " instances " << instances.size() << ": cut off " << cutOff.served << " of " << cutOff.asked
                 << ", others " << others.served << " of " << others.asked);
    CHECK(areServedAlike(cutOff, others));
}
