#include "fleetbounds.h"

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(10);
constexpr absl::Duration CUT_TIME = absl::Seconds(12);
/** Share of the first tries that are served where other instances and backend servers have room. */
constexpr double GOOD_SHARE = 0.95;

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

// Guards against instances that are sent to one after the other, each of them cut off.
TEST_CASE("callers are served by other regions while all instances of their region are cut off from its backend servers")
{
    const std::uint64_t seed = GENERATE(411, 412);
    const PathCut kind = GENERATE(PathCut::Silent, PathCut::Reset);
    const std::set<std::size_t> instances{0, 1, 2};
    EngineFleet fleet(seed);
    play(fleet, absl::Seconds(3));
    const absl::Time cutAt = fleet.now();
    cut(fleet, instances, kind);
    play(fleet, CUT_TIME);
    const absl::Time end = fleet.now();
    fleet.advance(absl::Seconds(5));
    const FirstTries cutOff = triesAt(fleet, instances, true, cutAt + CONTACT_TIME, end);
    INFO("seed " << seed << ": " << cutOff.served << " of " << cutOff.asked);
    CHECK(cutOff.share() >= GOOD_SHARE);
}

TEST_CASE("callers are refused at once and told when to come back while all instances are cut off from all backend servers")
{
    const std::uint64_t seed = GENERATE(421, 422);
    EngineFleet fleet(seed);
    play(fleet, absl::Seconds(3));
    cut(fleet, {0, 1, 2, 3, 4, 5, 6, 7}, PathCut::Silent);
    play(fleet, CONTACT_TIME);
    for (std::size_t instance = 0; instance < fleet.instanceCount(); ++instance) {
        const std::shared_ptr<Answer> answer = fleet.ask(instance, {"sys", "doc"});
        INFO("seed " << seed << " instance " << instance);
        REQUIRE(answer->error.has_value());
        CHECK(answer->error->retryAfter.has_value());
    }
}

// Guards against an instance that blames the backend servers for its own lost paths, and makes the others believe it.
TEST_CASE("what an instance that is cut off does not reach is held against no prompt part and no backend server")
{
    const std::uint64_t seed = GENERATE(431, 432);
    const PathCut kind = GENERATE(PathCut::Silent, PathCut::Reset, PathCut::NewRefused);
    const std::set<std::size_t> instances{0, 3};
    EngineFleet fleet(seed);
    play(fleet, absl::Seconds(3));
    const absl::Time cutAt = fleet.now();
    cut(fleet, instances, kind);
    play(fleet, CUT_TIME);
    const absl::Time end = fleet.now();
    fleet.advance(absl::Seconds(5));
    const FirstTries others = triesAt(fleet, instances, false, cutAt, end);
    INFO("seed " << seed << " kind " << static_cast<int>(kind));
    CHECK(others.served == others.asked);
    CHECK(fleet.logLines("part_quarantined") == 0);
    CHECK(fleet.logLines("part_refused") == 0);
}

// Guards against backend servers that have crashed or lost their power, and are taken for a lost path.
TEST_CASE("an instance that reaches some backend servers of a service is not cut off from it")
{
    const std::uint64_t seed = GENERATE(441, 442, 443);
    EngineFleet fleet(seed);
    play(fleet, absl::Seconds(3));
    for (int round = 0; round < 3; ++round) {
        for (std::size_t engine = 0; engine < 4; ++engine) {
            engine % 2 == 0 ? fleet.crash(engine) : fleet.darken(engine);
        }
        play(fleet, absl::Seconds(6));
    }
    INFO("seed " << seed);
    CHECK(fleet.logLines("paths_lost") == 0);
}

TEST_CASE("a request that may run once reaches at most one backend server while paths are cut and come back")
{
    const std::uint64_t seed = GENERATE(451, 452, 453);
    EngineFleet fleet(seed);
    const PathCut kinds[] = {PathCut::Silent, PathCut::Reset, PathCut::NewRefused};
    for (int round = 0; round < 12; ++round) {
        cut(fleet, {0, 1, 3, 4, 6}, round % 2 == 0 ? kinds[fleet.randomInt(3)] : PathCut::None);
        const absl::Time end = fleet.now() + absl::Milliseconds(500 + fleet.randomInt(1500));
        while (fleet.now() < end) {
            fleet.ask({"sys", absl::StrCat("doc", fleet.randomInt(30))});
            fleet.advance(REQUEST_PERIOD);
        }
    }
    cut(fleet, {0, 1, 3, 4, 6}, PathCut::None);
    fleet.advance(absl::Seconds(12));
    std::map<std::string, int> arrivals;
    for (const EngineArrival &arrival : fleet.allArrivals()) {
        ++arrivals[arrival.request];
    }
    INFO("seed " << seed);
    for (const auto &entry : arrivals) {
        CHECK(entry.second == 1);
    }
    for (const FleetRequest &request : fleet.requests()) {
        CHECK(request.answer->finalCount == 1);
    }
}

TEST_CASE("callers of an instance whose paths are back are served like others three seconds later")
{
    const std::uint64_t seed = GENERATE(461, 462);
    const PathCut kind = GENERATE(PathCut::Silent, PathCut::Reset, PathCut::NewRefused);
    const std::set<std::size_t> instances{0, 1, 3};
    EngineFleet fleet(seed);
    play(fleet, absl::Seconds(3));
    cut(fleet, instances, kind);
    play(fleet, absl::Seconds(7));
    cut(fleet, instances, PathCut::None);
    play(fleet, absl::Seconds(3));
    const absl::Time from = fleet.now();
    play(fleet, absl::Seconds(4));
    const absl::Time end = fleet.now();
    fleet.advance(absl::Seconds(5));
    const FirstTries tries = triesAt(fleet, instances, true, from, end);
    INFO("seed " << seed << " kind " << static_cast<int>(kind));
    CHECK(tries.served == tries.asked);
    std::set<core::InstanceId> senders;
    for (const EngineArrival &arrival : fleet.allArrivals()) {
        if (arrival.at >= from) {
            senders.insert(arrival.instance);
        }
    }
    CHECK(senders.size() == fleet.instanceCount());
}
