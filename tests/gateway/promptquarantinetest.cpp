#include "fleetbounds.h"

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(20);

/** Shared parts of a request that crashes engines. */
using PartsOfCrash = std::function<std::vector<std::string>(EngineFleet &fleet)>;

/** Sends sound requests that share their first part and some documents; each fifth holds a part that crashes engines. */
void playCrashingParts(EngineFleet &fleet, absl::Duration time, const PartsOfCrash &partsOfCrash, const std::string &target = "/stream/x")
{
    const absl::Time end = fleet.now() + time;
    for (int count = 0; fleet.now() < end; ++count) {
        const std::string document = absl::StrCat("doc", fleet.randomInt(8));
        if (count % 5 == 0) {
            fleet.ask(partsOfCrash(fleet), target);
        } else {
            fleet.ask({"sys", document}, target);
        }
        fleet.advance(REQUEST_PERIOD);
    }
}

void playCrashingPart(EngineFleet &fleet, absl::Duration time, const std::string &crashingPart)
{
    playCrashingParts(fleet, time, [&crashingPart](EngineFleet & /*fleet*/) { return std::vector<std::string>{"sys", crashingPart}; });
}

void playSound(EngineFleet &fleet, absl::Duration time)
{
    const absl::Time end = fleet.now() + time;
    while (fleet.now() < end) {
        fleet.ask({"sys", absl::StrCat("doc", fleet.randomInt(8))});
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
    INFO("seed " << seed << ": " << fleet.crashes("bad").size() << " crashes, " << boundedArrivals(fleet, "bad") << " later arrivals");
    CHECK(boundedArrivals(fleet, "bad") <= MAX_LATER_ARRIVALS);
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
    const absl::Time from = decisiveCrash(fleet, "bad") + 2 * CONTACT_TIME;
    const double share = fleet.servedShare(from, fleet.now());
    INFO("seed " << seed << ": " << crashes.size() << " crashes, served share " << share);
    // Outside impairment all are served; half of that is the bound.
    CHECK(share >= 0.5);
}

// Guards against a part that is found only at one position, with one kind of answer or on one route.
TEST_CASE("a part that crashes backend servers is found wherever it stands in the prompt and however far the answer had come")
{
    const int variant = GENERATE(0, 1, 2, 3, 4, 5, 6);
    EngineFleet fleet(static_cast<std::uint64_t>(variant) + 10);
    fleet.setCrashing("bad");
    fleet.areAnswersCloseDelimited = variant == 4 || variant == 5;
    fleet.bytesBeforeCrash = variant == 5 || variant == 6 ? "id: 1\nda" : "";
    const std::string target = variant == 3 ? "/resume/x" : "/stream/x";
    playCrashingParts(
        fleet, absl::Seconds(20),
        [variant](EngineFleet &running) -> std::vector<std::string> {
            const std::string document = absl::StrCat("doc", running.randomInt(8));
            switch (variant) {
            case 0:
                return {"bad", "sys", document};
            case 1:
                return {"sys", "bad", document};
            case 2:
                return {"bad"};
            default:
                return {"sys", document, "bad"};
            }
        },
        target);
    const absl::Time from = fleet.now();
    playSound(fleet, absl::Seconds(5));
    fleet.advance(absl::Seconds(1));
    INFO("variant " << variant << ": " << fleet.crashes("bad").size() << " crashes");
    CHECK(fleet.crashes("bad").size() >= 3);
    CHECK(boundedArrivals(fleet, "bad") <= MAX_LATER_ARRIVALS);
    CHECK(fleet.servedShare(from, fleet.now()) > 0.9);
}

// Guards against a crash that is explained by one known part and hides another one.
TEST_CASE("two parts that crash backend servers at once are both found, and a third one that starts later")
{
    const std::uint64_t seed = GENERATE(21, 22, 23);
    EngineFleet fleet(seed);
    for (const char *part : {"bad1", "bad2", "bad3"}) {
        fleet.setCrashing(part);
    }
    playCrashingParts(fleet, absl::Seconds(15), [](EngineFleet &running) -> std::vector<std::string> {
        return {"sys", running.randomInt(2) == 0 ? "bad1" : "bad2"};
    });
    playCrashingPart(fleet, absl::Seconds(15), "bad3");
    const absl::Time from = fleet.now();
    playSound(fleet, absl::Seconds(5));
    fleet.advance(absl::Seconds(1));
    for (const char *part : {"bad1", "bad2", "bad3"}) {
        INFO("seed " << seed << ", " << part << ": " << fleet.crashes(part).size() << " crashes");
        CHECK(fleet.crashes(part).size() >= 3);
        CHECK(boundedArrivals(fleet, part) <= MAX_LATER_ARRIVALS);
    }
    CHECK(fleet.servedShare(from, fleet.now()) > 0.9);
}

// Guards against a bound that each instance keeps for itself: hundreds of them, which report to relays, are one fleet.
TEST_CASE("a part that crashes backend servers is found by hundreds of instances together")
{
    EngineFleet fleet(31, FleetShape{{98, 98, 99}, {30, 30, 30}});
    fleet.setCrashing("bad");
    playCrashingPart(fleet, absl::Seconds(14), "bad");
    INFO(fleet.crashes("bad").size() << " crashes");
    CHECK(fleet.crashes("bad").size() >= 3);
    CHECK(boundedArrivals(fleet, "bad") <= MAX_LATER_ARRIVALS);
}

// Guards against sound parts that are blamed for engines which crash of themselves, one by one, as a rack, or all but a few.
TEST_CASE("engines that crash without a bad part lead to no quarantine, with hundreds of runs in work")
{
    const int variant = GENERATE(0, 1, 2);
    const std::uint64_t seed = GENERATE(41, 42, 43, 44);
    EngineFleet fleet(seed);
    const absl::Time end = fleet.now() + absl::Seconds(30);
    int count = 0;
    while (fleet.now() < end) {
        // A part that all requests hold, some that many hold, and some of a few sessions.
        fleet.ask({"sys", absl::StrCat("doc", fleet.randomInt(4)), absl::StrCat("session", fleet.randomInt(60))});
        fleet.advance(absl::Milliseconds(5));
        ++count;
        if (variant == 0 && count % 100 == 0) {
            fleet.crash(static_cast<std::size_t>(fleet.randomInt(static_cast<int>(fleet.engineCount()))));
        }
        if (variant == 1 && count % 1000 == 0) {
            for (std::size_t engine = 0; engine < 7; ++engine) {
                fleet.crash(engine);
                fleet.advance(absl::Milliseconds(100));
            }
        }
        if (variant == 2 && count % 2000 == 0) {
            for (std::size_t engine = 0; engine < fleet.engineCount(); ++engine) {
                if (fleet.isEngineUp(engine)) {
                    fleet.crash(engine);
                }
            }
        }
    }
    INFO("variant " << variant << ", seed " << seed);
    CHECK(fleet.logLines("part_quarantined") == 0);
}

// Guards against a crash that is none: connections that end while the server goes on.
TEST_CASE("broken answers of servers that go on are no crashes")
{
    const std::uint64_t seed = GENERATE(51, 52);
    EngineFleet fleet(seed);
    const absl::Time end = fleet.now() + absl::Seconds(20);
    while (fleet.now() < end) {
        fleet.ask({"sys", absl::StrCat("session", fleet.randomInt(20))});
        fleet.advance(absl::Milliseconds(10));
        fleet.truncate(static_cast<std::size_t>(fleet.randomInt(static_cast<int>(fleet.engineCount()))));
    }
    CHECK(fleet.logLines("part_quarantined") == 0);
    CHECK(fleet.logLines("server_crashed") == 0);
}

// Guards against a known part that is forgotten when processes end: all at once, one after the other, or a new one.
TEST_CASE("a quarantined part is known again after one instance, or all of them, were killed")
{
    const bool areAllKilled = GENERATE(true, false);
    EngineFleet fleet(61);
    fleet.setCrashing("bad");
    playCrashingPart(fleet, absl::Seconds(10), "bad");
    const std::size_t before = fleet.crashes("bad").size();
    REQUIRE(before >= 3);
    const std::size_t killed = areAllKilled ? fleet.instanceCount() : 1;
    for (std::size_t index = 0; index < killed; ++index) {
        fleet.kill(index);
    }
    for (std::size_t index = 0; index < killed; ++index) {
        fleet.start(index);
    }
    const absl::Time restarted = fleet.now();
    fleet.advance(absl::Milliseconds(100));
    playCrashingPart(fleet, absl::Seconds(10), "bad");
    CHECK(fleet.arrivals("bad", restarted) == 0);
    CHECK(fleet.crashes("bad").size() == before);
}

// Guards against sides of a partition that disagree after it, and against a cut-off instance that learns nothing.
TEST_CASE("an instance that was cut off learns of a quarantined part with its first link")
{
    EngineFleet fleet(71);
    fleet.setCrashing("bad");
    fleet.partition({{0}});
    const absl::Time start = fleet.now();
    while (fleet.now() < start + absl::Seconds(10)) {
        fleet.ask(1 + static_cast<std::size_t>(fleet.randomInt(static_cast<int>(fleet.instanceCount()) - 1)), {"sys", "bad"});
        fleet.ask(1 + static_cast<std::size_t>(fleet.randomInt(static_cast<int>(fleet.instanceCount()) - 1)), {"sys", "doc1"});
        fleet.advance(absl::Milliseconds(40));
    }
    fleet.partition({});
    fleet.advance(absl::Milliseconds(300));
    const std::shared_ptr<Answer> answer = fleet.ask(0, {"sys", "bad"});
    REQUIRE(answer->error.has_value());
    CHECK(answer->error->kind == core::ErrorKind::PromptQuarantined);
}

// Guards against a refusal that invites the same request again, or that is not true.
TEST_CASE("a request with a quarantined part is refused at once, as not run and without a time to return")
{
    EngineFleet fleet(81);
    fleet.setCrashing("bad");
    playCrashingPart(fleet, absl::Seconds(8), "bad");
    const std::size_t arrivals = fleet.allArrivals().size();
    const std::shared_ptr<Answer> answer = fleet.ask(2, {"other", "bad", "doc1"});
    REQUIRE(answer->error.has_value());
    CHECK(answer->finalCount == 1);
    CHECK(answer->error->kind == core::ErrorKind::PromptQuarantined);
    CHECK(answer->error->ranState == core::RanState::NotRun);
    CHECK_FALSE(answer->error->retryAfter.has_value());
    fleet.advance(absl::Seconds(1));
    CHECK(fleet.allArrivals().size() == arrivals);
    // A part at the last position belongs to the request alone.
    CHECK(core::errorAnswer(answer->error->kind).httpStatus == 503);
}

// Guards against a quarantine that nobody can end after the engines were mended.
TEST_CASE("an operator who removes a quarantine's record lets the part run again")
{
    EngineFleet fleet(91);
    fleet.setCrashing("bad");
    playCrashingPart(fleet, absl::Seconds(10), "bad");
    fleet.advance(absl::Seconds(5));
    fleet.setCrashing("bad", false);
    fleet.removeStoredQuarantines();
    fleet.advance(absl::Seconds(1));
    const absl::Time cleared = fleet.now();
    playCrashingPart(fleet, absl::Seconds(10), "bad");
    fleet.advance(absl::Seconds(1));
    CHECK(fleet.servedShare(cleared, fleet.now()) > 0.95);
    CHECK(fleet.arrivals("bad", cleared) > 90);
}
