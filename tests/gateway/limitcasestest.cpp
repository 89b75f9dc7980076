#include "fleetbounds.h"
#include "snipeferry/gateway/serverlimits.h"

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(10);

void play(EngineFleet &fleet, absl::Duration time, const std::string &target = "/stream/x")
{
    const absl::Time end = fleet.now() + time;
    while (fleet.now() < end) {
        fleet.ask({"sys", absl::StrCat("doc", fleet.randomInt(30))}, target);
        fleet.advance(REQUEST_PERIOD);
    }
}

/** A fleet whose first engine has named 1 request a second and its second 3, early enough for the bound to hold. */
struct LimitedFleet
{
    explicit LimitedFleet(std::uint64_t seed)
        : fleet(seed)
    {
        play(fleet, absl::Seconds(4));
        fleet.setLimit(0, 1.0);
        fleet.setLimit(1, 3.0);
        play(fleet, CONTACT_TIME);
        from = fleet.now();
    }

    void checkLimits() const
    {
        CHECK(fleet.mostArrivals(0, from, LIMIT_SPAN) <= allowed(1.0));
        CHECK(fleet.mostArrivals(1, from, LIMIT_SPAN) <= allowed(3.0));
    }

    EngineFleet fleet;
    absl::Time from;
};

gateway::RunReport naming(std::optional<double> limit)
{
    gateway::RunReport report;
    report.hasReceipt = true;
    report.requestLimit = limit;
    return report;
}

} // namespace

// Guards against an instance that wakes up and sends what waited, or whose part another one has taken over meanwhile.
TEST_CASE("a limit holds while instances are frozen and wake up")
{
    const std::uint64_t seed = GENERATE(201, 202, 203);
    LimitedFleet limited(seed);
    for (std::size_t instance = 0; instance < 3; ++instance) {
        limited.fleet.setFrozen(instance, true);
        play(limited.fleet, absl::Seconds(instance == 0 ? 3 : 12));
        limited.fleet.setFrozen(instance, false);
        play(limited.fleet, absl::Seconds(5));
    }
    INFO("seed " << seed);
    limited.checkLimits();
}

// Guards against a new instance that takes a part before the others know that it has one.
TEST_CASE("a limit holds while instances are added")
{
    const std::uint64_t seed = GENERATE(211, 212, 213);
    LimitedFleet limited(seed);
    for (int added = 0; added < 4; ++added) {
        limited.fleet.addInstance(0);
        play(limited.fleet, absl::Seconds(3));
    }
    play(limited.fleet, absl::Seconds(15));
    INFO("seed " << seed);
    limited.checkLimits();
}

// Guards against both sides of a partition that take the whole limit.
TEST_CASE("a limit holds while a region is split in two, with and without the store")
{
    const std::uint64_t seed = GENERATE(221, 222);
    const bool hasStore = GENERATE(true, false);
    LimitedFleet limited(seed);
    for (std::size_t alone = 0; alone < 3; ++alone) {
        limited.fleet.partition({{alone}});
        limited.fleet.setStoreCut(alone, !hasStore);
        play(limited.fleet, absl::Seconds(15));
        limited.fleet.partition({});
        limited.fleet.setStoreCut(alone, false);
        play(limited.fleet, absl::Seconds(8));
    }
    INFO("seed " << seed << ", store " << hasStore);
    limited.checkLimits();
}

// Guards against a fleet that starts again and sends before it has heard of the limit, or each instance a whole one.
TEST_CASE("a limit holds from the time of contact on after all instances were killed")
{
    const std::uint64_t seed = GENERATE(231, 232);
    LimitedFleet limited(seed);
    for (std::size_t instance = 0; instance < limited.fleet.instanceCount(); ++instance) {
        limited.fleet.kill(instance);
    }
    for (std::size_t instance = 0; instance < limited.fleet.instanceCount(); ++instance) {
        limited.fleet.start(instance);
    }
    play(limited.fleet, CONTACT_TIME);
    limited.from = limited.fleet.now();
    play(limited.fleet, absl::Seconds(15));
    INFO("seed " << seed);
    limited.checkLimits();
}

// Guards against repeats that pass by the limit: a broken run is sent again elsewhere.
TEST_CASE("a limit holds for requests that are repeated after another server broke them off")
{
    const std::uint64_t seed = GENERATE(241, 242);
    LimitedFleet limited(seed);
    for (int round = 0; round < 100; ++round) {
        play(limited.fleet, absl::Milliseconds(150), "/resume/x");
        limited.fleet.truncate(2 + static_cast<std::size_t>(limited.fleet.randomInt(6)));
    }
    INFO("seed " << seed);
    limited.checkLimits();
}

// Guards against an old answer that ends a limit, and against a silent one of a run that began before the limit was named.
TEST_CASE("answers out of order leave a limit as the latest one named it")
{
    core::VirtualTimerService timers;
    gateway::ServerLimits limits(core::InstanceId("gw-1"), timers);
    const gateway::BackendServer server = GatewayFixture::server("s1");
    timers.advance(absl::Seconds(10));
    const absl::Time early = timers.now();
    timers.advance(absl::Milliseconds(100));
    CHECK(limits.note(server, naming(2.0), true, timers.now()));
    timers.advance(absl::Milliseconds(100));
    CHECK_FALSE(limits.note(server, naming(std::nullopt), true, early));
    CHECK(limits.states().size() == 1);
    // News of before the last answer change nothing.
    CHECK(limits.receive({{server.id, 0, 50.0, absl::Milliseconds(150)}}).empty());
    CHECK(limits.states().front().perSecond == 2.0);
    // A failure does not end a limit, a success of a later run does.
    CHECK_FALSE(limits.note(server, naming(std::nullopt), false, timers.now()));
    CHECK(limits.note(server, naming(std::nullopt), true, timers.now()));
    CHECK(limits.states().empty());
}

// Guards against requests that take what the backend servers allow in the order of their arrival, so that the urgent ones are refused with all others.
TEST_CASE("if all backend servers have named limits, urgent requests are served before others")
{
    const std::uint64_t seed = GENERATE(251, 252, 253);
    EngineFleet fleet(seed);
    fleet.advance(absl::Seconds(4));
    for (std::size_t engine = 0; engine < fleet.engineCount(); ++engine) {
        fleet.setLimit(engine, 1.0);
    }
    play(fleet, absl::Seconds(10));
    const absl::Time from = fleet.now();
    std::vector<std::shared_ptr<Answer>> urgent;
    std::vector<std::shared_ptr<Answer>> other;
    while (fleet.now() < from + absl::Seconds(30)) {
        const bool isUrgent = fleet.randomInt(25) == 0;
        const std::vector<std::string> parts = {"sys", absl::StrCat("doc", fleet.randomInt(30))};
        (isUrgent ? urgent : other).push_back(fleet.ask(parts, isUrgent ? "/urgent-stream/x" : "/stream/x"));
        fleet.advance(REQUEST_PERIOD);
    }
    fleet.advance(absl::Seconds(1));
    const auto shareOf = [](const std::vector<std::shared_ptr<Answer>> &answers) {
        const auto isServed = [](const std::shared_ptr<Answer> &answer) {
            return answer->status == 200;
        };
        return static_cast<double>(std::count_if(answers.begin(), answers.end(), isServed)) / static_cast<double>(answers.size());
    };
    INFO("seed " << seed << ": urgent " << shareOf(urgent) << ", other " << shareOf(other));
    // The limits allow 18 requests a second; 4 urgent ones and 96 others come.
    CHECK(shareOf(urgent) >= 0.75);
    CHECK(shareOf(other) > 0.05);
    for (std::size_t engine = 0; engine < fleet.engineCount(); ++engine) {
        CHECK(fleet.mostArrivals(engine, from, LIMIT_SPAN) <= allowed(1.0));
    }
}
