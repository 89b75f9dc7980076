#include "fleetbounds.h"

#include <set>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(20);
/** Each so many requests hold the part that crashes engines. */
constexpr int CRASHING_PERIOD = 5;

using Shared = std::vector<std::string>;

Shared soundParts(EngineFleet &fleet)
{
    return {"sys", absl::StrCat("doc", fleet.randomInt(8))};
}

/** Sends sound requests, and each fifth with a part that crashes engines, if there is one. */
void play(EngineFleet &fleet, absl::Duration time, const std::string &crashingPart = {})
{
    const absl::Time end = fleet.now() + time;
    for (int count = 0; fleet.now() < end; ++count) {
        if (!crashingPart.empty() && count % CRASHING_PERIOD == 0) {
            fleet.ask({"sys", crashingPart});
        } else {
            fleet.ask(soundParts(fleet));
        }
        fleet.advance(REQUEST_PERIOD);
    }
}

/** Share of the requests with exactly these shared parts that were served, among those sent from a time on. */
double servedShareOf(const EngineFleet &fleet, const Shared &parts, absl::Time from)
{
    int sent = 0;
    int served = 0;
    for (const FleetRequest &request : fleet.requests()) {
        if (request.at >= from && request.sharedParts == parts) {
            ++sent;
            served += request.isServed() ? 1 : 0;
        }
    }
    return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
}

bool isRefused(EngineFleet &fleet, std::size_t instance, const Shared &parts)
{
    const std::shared_ptr<Answer> answer = fleet.ask(instance, parts);
    return answer->error.has_value() && answer->error->kind == core::ErrorKind::PromptQuarantined;
}

} // namespace

// Guards against a started instance that hears of old crashes and not of the runs that have ended well since, and blames sound parts for all of them.
TEST_CASE("an instance that starts after engines have crashed by themselves blames no part for it")
{
    const std::uint64_t seed = GENERATE(101, 102, 103);
    EngineFleet fleet(seed);
    for (int crash = 0; crash < 8; ++crash) {
        fleet.ask({"sys", "rare"});
        fleet.advance(absl::Milliseconds(110));
        const std::optional<std::size_t> engine = fleet.engineAtWorkOn("rare");
        REQUIRE(engine.has_value());
        fleet.crash(*engine);
        fleet.ask({"sys", "rare"});
        play(fleet, absl::Seconds(2));
    }
    const std::size_t added = fleet.addInstance(0);
    fleet.kill(4);
    fleet.start(4);
    play(fleet, absl::Seconds(5));
    INFO("seed " << seed);
    CHECK(fleet.logLines("part_quarantined") == 0);
    CHECK_FALSE(isRefused(fleet, added, {"sys", "rare"}));
}

// Guards against a sound part that is refused for good, because the requests that crashed engines held it too and its own ones are few.
TEST_CASE("a seldom part that is always beside the one that crashes backend servers is served when it comes without it")
{
    const std::uint64_t seed = GENERATE(111, 112, 113);
    EngineFleet fleet(seed);
    fleet.setCrashing("bad");
    fleet.ask(0, {"sys", "seldom"});
    play(fleet, absl::Seconds(2));
    const absl::Time start = fleet.now();
    absl::Time lastSeldom = start;
    absl::Time lastBad = start;
    while (fleet.now() < start + absl::Seconds(60)) {
        if (fleet.now() - lastBad >= absl::Milliseconds(400)) {
            lastBad = fleet.now();
            fleet.ask({"sys", "seldom", "bad"});
        }
        if (fleet.now() - lastSeldom >= absl::Seconds(6)) {
            lastSeldom = fleet.now();
            fleet.ask({"sys", "seldom"});
        }
        fleet.ask(soundParts(fleet));
        fleet.advance(REQUEST_PERIOD);
    }
    fleet.advance(absl::Seconds(1));
    const std::vector<absl::Time> &crashes = fleet.crashes("bad");
    REQUIRE(crashes.size() >= 3);
    INFO("seed " << seed << ": " << crashes.size() << " crashes");
    const absl::Time from = decisiveCrash(fleet, "bad") + 2 * CONTACT_TIME;
    CHECK(boundedArrivals(fleet, "bad") <= MAX_LATER_ARRIVALS);
    CHECK(servedShareOf(fleet, {"sys", "seldom"}, from) >= 0.9);
}

// Guards against a decision that looks at the caller, the route or the size of a request.
TEST_CASE("a part that crashes backend servers is found with every caller, route and position at once, and sound requests with the same key go on")
{
    const std::uint64_t seed = GENERATE(121, 122);
    EngineFleet fleet(seed);
    fleet.setCrashing("bad");
    const std::vector<std::string> targets = {"/stream/x", "/resume/x", "/keyed-stream/x"};
    const absl::Time start = fleet.now();
    while (fleet.now() < start + absl::Seconds(30)) {
        for (const bool isBad : {true, false, false, false}) {
            const std::string &target = targets[static_cast<std::size_t>(fleet.randomInt(3))];
            const gateway::Headers key = target == "/keyed-stream/x" ? gateway::Headers{{"key", "bar-key"}} : gateway::Headers{};
            Shared parts = fleet.randomInt(2) == 0 ? Shared{"sys"} : soundParts(fleet);
            if (isBad) {
                parts.insert(parts.begin() + fleet.randomInt(static_cast<int>(parts.size()) + 1), "bad");
            }
            fleet.ask(parts, target, key);
            fleet.advance(REQUEST_PERIOD);
        }
    }
    fleet.advance(absl::Seconds(1));
    const std::vector<absl::Time> &crashes = fleet.crashes("bad");
    INFO("seed " << seed << ": " << crashes.size() << " crashes");
    REQUIRE(crashes.size() >= 3);
    CHECK(boundedArrivals(fleet, "bad") <= MAX_LATER_ARRIVALS);
    CHECK(fleet.servedShare(decisiveCrash(fleet, "bad") + 2 * CONTACT_TIME, fleet.now()) >= 0.9);
}

// Guards against an instance that wakes up and goes on as if nothing had been learned meanwhile.
TEST_CASE("an instance that was frozen while a part was quarantined refuses it within the time of contact")
{
    const std::uint64_t seed = GENERATE(131, 132);
    EngineFleet fleet(seed);
    fleet.setCrashing("bad");
    fleet.setFrozen(0, true);
    play(fleet, absl::Seconds(8), "bad");
    fleet.setFrozen(0, false);
    fleet.advance(CONTACT_TIME);
    CHECK(isRefused(fleet, 0, {"sys", "bad"}));
    const absl::Time inTouch = fleet.now();
    play(fleet, absl::Seconds(5), "bad");
    CHECK(fleet.arrivals("bad", inTouch) == 0);
    CHECK(fleet.servedShare(inTouch, fleet.now() - absl::Seconds(1)) > 0.9);
}

// Guards against sides of a partition that disagree after it.
TEST_CASE("both sides of a partition find a part for themselves and agree after it")
{
    const std::uint64_t seed = GENERATE(141, 142);
    EngineFleet fleet(seed);
    fleet.setCrashing("bad1");
    fleet.setCrashing("bad2");
    // One region alone, and the two others.
    fleet.partition({fleet.instancesOf(0)});
    for (const std::size_t instance : fleet.instancesOf(0)) {
        fleet.setStoreCut(instance, true);
    }
    const absl::Time start = fleet.now();
    while (fleet.now() < start + absl::Seconds(10)) {
        fleet.askInRegion(0, {"sys", "bad1"});
        fleet.askInRegion(1 + static_cast<std::size_t>(fleet.randomInt(2)), {"sys", "bad2"});
        for (const std::size_t region : {0, 1, 2}) {
            fleet.askInRegion(region, soundParts(fleet));
        }
        fleet.advance(absl::Milliseconds(100));
    }
    CHECK(isRefused(fleet, 0, {"sys", "bad1"}));
    CHECK(isRefused(fleet, 4, {"sys", "bad2"}));
    fleet.partition({});
    for (const std::size_t instance : fleet.instancesOf(0)) {
        fleet.setStoreCut(instance, false);
    }
    fleet.advance(CONTACT_TIME);
    for (std::size_t instance = 0; instance < fleet.instanceCount(); ++instance) {
        INFO("instance " << instance);
        CHECK(isRefused(fleet, instance, {"sys", "bad1"}));
        CHECK(isRefused(fleet, instance, {"sys", "bad2"}));
    }
    const absl::Time healed = fleet.now();
    play(fleet, absl::Seconds(3));
    fleet.advance(absl::Seconds(1));
    CHECK(fleet.servedShare(healed, fleet.now()) > 0.9);
}

// Guards against blame for engines that lose their power, fail on everything, or come back under the identifier that they had.
TEST_CASE("dark engines, engines of a faulty version and engines that keep their identifier lead to no quarantine of what they had in work")
{
    const int variant = GENERATE(0, 1, 2);
    const std::uint64_t seed = GENERATE(151, 152, 153);
    EngineFleet fleet(seed);
    fleet.keepsEngineIds = variant == 2;
    if (variant == 1) {
        fleet.setFaulty(3, true);
        fleet.setFaulty(9, true);
    }
    const absl::Time end = fleet.now() + absl::Seconds(30);
    for (int count = 0; fleet.now() < end; ++count) {
        fleet.ask({"sys", absl::StrCat("doc", fleet.randomInt(4)), absl::StrCat("session", fleet.randomInt(40))});
        fleet.advance(absl::Milliseconds(5));
        const std::size_t engine = static_cast<std::size_t>(fleet.randomInt(static_cast<int>(fleet.engineCount())));
        if (variant == 0 && count % 150 == 0) {
            fleet.darken(engine);
        }
        if (variant == 2 && count % 100 == 0) {
            fleet.crash(engine);
        }
    }
    const absl::Time from = fleet.now();
    fleet.setFaulty(3, false);
    fleet.setFaulty(9, false);
    play(fleet, absl::Seconds(3));
    fleet.advance(absl::Seconds(1));
    INFO("variant " << variant << ", seed " << seed);
    CHECK(fleet.logLines("part_quarantined") == 0);
    CHECK(fleet.servedShare(from, fleet.now()) > 0.9);
}

// Guards against sound runs that end with the engine of a bad one and are neither repeated nor cleared of it.
TEST_CASE("of many runs on an engine that crashes of one, the others are served elsewhere")
{
    const std::uint64_t seed = GENERATE(161, 162, 163);
    // One engine gets all; the other takes over.
    EngineFleet fleet(seed, FleetShape{{3}, {2}});
    fleet.setCrashing("bad");
    for (int count = 0; count < 40; ++count) {
        fleet.ask({"sys", absl::StrCat("doc", count % 4)}, "/resume/x");
    }
    fleet.ask({"sys", "bad"}, "/resume/x");
    fleet.advance(absl::Seconds(3));
    INFO("seed " << seed << ": " << fleet.crashes("bad").size() << " crashes");
    CHECK(fleet.servedShare(absl::InfinitePast(), fleet.now()) == 1.0);
    CHECK(fleet.logLines("part_quarantined") == 0);
}

// Guards against blame by the end of a run that this side has ended.
TEST_CASE("callers that leave while engines go away lead to no quarantine of their parts")
{
    EngineFleet fleet(171);
    const absl::Time end = fleet.now() + absl::Seconds(20);
    for (int count = 0; fleet.now() < end; ++count) {
        fleet.ask({"sys", "asked-by-leavers"});
        fleet.advance(absl::Milliseconds(30));
        fleet.leave();
        fleet.ask(soundParts(fleet));
        fleet.advance(REQUEST_PERIOD);
        if (count % 60 == 0) {
            fleet.crash(static_cast<std::size_t>(fleet.randomInt(static_cast<int>(fleet.engineCount()))));
        }
    }
    CHECK(fleet.logLines("part_quarantined") == 0);
}
