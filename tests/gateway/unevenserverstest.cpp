#include "fakeports.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/backendtable.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>
#include <random>
#include <tuple>

using namespace snipeferry;
using namespace snipeferry::tests;

// Load: backend servers that are not equally fast, and for short times much slower than usual.
namespace {

const core::ServiceId SERVICE("assistant");

gateway::ServerQuery query(std::int64_t tokens)
{
    gateway::ServerQuery asked;
    asked.service = SERVICE;
    asked.priority = 0;
    asked.promptTokens = tokens;
    return asked;
}

gateway::RunReport stating(std::optional<double> cost)
{
    gateway::RunReport report;
    report.momentaryCost = cost;
    return report;
}

core::BackendServerId serverId(std::size_t index)
{
    return core::BackendServerId(absl::StrCat("s", index));
}

void prepare(gateway::BackendTable &table, std::size_t servers)
{
    gateway::Service service;
    service.id = SERVICE;
    service.isModelEngine = true;
    service.coldTime = absl::Seconds(3);
    service.coldRate = 2;
    table.configure({service});
    for (std::size_t index = 0; index < servers; ++index) {
        gateway::BackendServer server;
        server.id = serverId(index);
        server.service = SERVICE;
        server.slots = 64;
        table.announce(server);
    }
}

/** Sums over the runs of one engine. */
struct EngineSums
{
    int runs = 0;
    double estimatedMs = 0;
    double actualMs = 0;
};

constexpr double TOKENS_PER_MS = 157;
constexpr std::int64_t TOKENS = 12'000;

/** Sends requests to engines that read one prompt after the other and are slower by 2.5 for 600 ms at a time; the sums are without the first 3 s. */
std::vector<EngineSums> play(
    gateway::BackendTable &table, core::VirtualTimerService &timers, const std::vector<double> &speeds, double load, double disturbedShare, std::uint64_t seed)
{
    constexpr absl::Duration WARM_UP = absl::Seconds(3);
    prepare(table, speeds.size());
    std::mt19937_64 random(seed);
    std::bernoulli_distribution isDisturbed(disturbedShare);
    std::exponential_distribution<double> gapMs(load * std::accumulate(speeds.begin(), speeds.end(), 0.0) * TOKENS_PER_MS / static_cast<double>(TOKENS));
    std::vector<EngineSums> sums(speeds.size());
    std::vector<double> costs(speeds.size(), 1.0);
    std::vector<absl::Time> freeAt(speeds.size(), absl::InfinitePast());
    std::multimap<absl::Time, std::function<void()>> events;
    FakeJournal journal;
    const absl::Time begin = timers.now();
    for (absl::Time at = begin; at < begin + absl::Seconds(25); at += absl::Milliseconds(600)) {
        events.emplace(at, [&]() { std::generate(costs.begin(), costs.end(), [&]() { return isDisturbed(random) ? 2.5 : 1.0; }); });
    }
    for (absl::Time at = begin; at < begin + absl::Seconds(25); at += absl::Milliseconds(gapMs(random))) {
        events.emplace(at, [&, at]() {
            const gateway::ServerChoice choice = *table.choose(query(TOKENS));
            std::size_t index = 0;
            for (; serverId(index) != choice.server; ++index) { }
            const serverload::RunStart start = table.started(choice.server, 0, choice.unreadTokens, {});
            freeAt[index] = std::max(at, freeAt[index]) + absl::Milliseconds(TOKENS / (TOKENS_PER_MS * speeds[index]) * costs[index]);
            const absl::Time end = freeAt[index] + absl::Milliseconds(serverload::BASE_LATENCY_MS);
            events.emplace(end, [&, index, at, end, choice, start]() {
                table.noteReport(choice.server, stating(costs[index]), true, at, journal);
                table.answered(choice.server, 0, TOKENS, end - at, start);
                table.finished(choice.server, 0, 0, gateway::RunEnd::Success, end - at);
                if (at >= begin + WARM_UP) {
                    ++sums[index].runs;
                    sums[index].estimatedMs += absl::ToDoubleMilliseconds(choice.estimate);
                    sums[index].actualMs += absl::ToDoubleMilliseconds(end - at);
                }
            });
        });
    }
    for (; !events.empty(); events.erase(events.begin())) {
        timers.advance(std::max(absl::ZeroDuration(), events.begin()->first - timers.now()));
        events.begin()->second();
    }
    return sums;
}

} // namespace

// Failure: slow engines got as much work as fast ones and long queues, because all were expected to read 45 tokens per ms; answers of disturbed engines
// were taken for their usual speed.
TEST_CASE("engines of different speeds get work in proportion and estimates that hold")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const std::vector<double> speeds{0.6, 0.6, 1.0, 1.0, 1.6, 1.6};
    // With spare capacity the fast engines get more than their proportion, because a prompt is read there sooner even behind another one.
    const auto [load, disturbedShare] = GENERATE(table<double, double>({{0.5, 0.0}, {1.0, 0.0}, {0.6, 0.15}}));
    core::VirtualTimerService timers;
    gateway::BackendTable backends(core::InstanceId("gw-1"), timers);
    const std::vector<EngineSums> sums = play(backends, timers, speeds, load, disturbedShare, seed);
    const int runs = std::accumulate(sums.begin(), sums.end(), 0, [](int sum, const EngineSums &of) { return sum + of.runs; });
    for (std::size_t index = 0; index < speeds.size(); ++index) {
        INFO("seed " << seed << " load " << load << " disturbed " << disturbedShare << " server " << index << " " << backends.describe(serverId(index)));
        CHECK((load < 1 || sums[index].runs == Approx(runs * speeds[index] / 6.4).epsilon(0.25)));
        CHECK(sums[index].estimatedMs == Approx(sums[index].actualMs).epsilon(0.25));
    }
    CHECK(backends.readRate(SERVICE) == Approx(TOKENS_PER_MS * 6.4).epsilon(0.25));
    const double least = backends.leastLoadedReadRate(SERVICE);
    CHECK((least > TOKENS_PER_MS * 0.6 * 0.75 && least < TOKENS_PER_MS * 1.6 * 1.25));
}

// Failure: 64 instances that see the same figures all choose the one server that looks best.
TEST_CASE("instances with the same picture do not choose the same engine")
{
    const int instances = GENERATE(1, 8, 64);
    const std::size_t servers = GENERATE(6, 58);
    constexpr int REQUESTS = 640;
    std::map<core::BackendServerId, int> chosen;
    core::VirtualTimerService timers;
    for (int instance = 0; instance < instances; ++instance) {
        gateway::BackendTable table(core::InstanceId(absl::StrCat("gw-", instance)), timers);
        prepare(table, servers);
        FakeJournal journal;
        table.noteReport(serverId(0), stating(0.9), true, timers.now(), journal);
        for (int request = 0; request < REQUESTS / instances; ++request) {
            ++chosen[table.choose(query(1800))->server];
        }
    }
    const double mean = static_cast<double>(REQUESTS) / static_cast<double>(servers);
    for (const auto &entry : chosen) {
        INFO(instances << " instances, " << servers << " servers, " << entry.first.value());
        CHECK(entry.second < 2.5 * mean);
    }
    CHECK(chosen.size() > servers * 3 / 4);
}

TEST_CASE("a disturbed engine is avoided while its figure is fresh, and not when all are disturbed")
{
    core::VirtualTimerService timers;
    gateway::BackendTable table(core::InstanceId("gw-1"), timers);
    prepare(table, 4);
    FakeJournal journal;
    table.noteReport(serverId(2), stating(2.5), true, timers.now(), journal);
    std::map<core::BackendServerId, int> chosen;
    for (int request = 0; request < 200; ++request) {
        ++chosen[table.choose(query(12'000))->server];
    }
    CHECK(chosen[serverId(2)] == 0);
    timers.advance(absl::Milliseconds(1001));
    for (int request = 0; request < 200; ++request) {
        ++chosen[table.choose(query(12'000))->server];
    }
    CHECK(chosen[serverId(2)] > 20);
    chosen.clear();
    for (std::size_t index = 0; index < 4; ++index) {
        table.noteReport(serverId(index), stating(2.5), true, timers.now(), journal);
    }
    for (int request = 0; request < 200; ++request) {
        ++chosen[table.choose(query(12'000))->server];
    }
    for (std::size_t index = 0; index < 4; ++index) {
        CHECK(chosen[serverId(index)] > 20);
    }
}

// Failure: a header that cannot be read changes the load, or fills the log.
TEST_CASE("a load that cannot be read is logged once a second and changes nothing")
{
    core::VirtualTimerService timers;
    gateway::BackendTable table(core::InstanceId("gw-1"), timers);
    prepare(table, 1);
    FakeJournal journal;
    gateway::RunReport good = stating(2.0);
    good.running = 5;
    good.waiting = 0;
    table.noteReport(serverId(0), good, true, timers.now(), journal);
    const std::string before = table.describe(serverId(0));
    gateway::RunReport odd;
    odd.isLoadUnreadable = true;
    odd.loadFault = "negative";
    for (int answer = 0; answer < 50; ++answer) {
        table.noteReport(serverId(0), odd, true, timers.now(), journal);
    }
    CHECK(table.describe(serverId(0)) == before);
    REQUIRE(journal.lines.size() == 1);
    CHECK(absl::StrContains(journal.lines[0], "load_unreadable"));
    CHECK(absl::StrContains(journal.lines[0], "reason=negative"));
    CHECK(journal.counts["loads_unreadable_total"] == 50);
    timers.advance(absl::Seconds(1));
    table.noteReport(serverId(0), stating(100.0), true, timers.now(), journal);
    REQUIRE(journal.lines.size() == 2);
    CHECK(absl::StrContains(journal.lines[1], "load_clamped"));
    // The process at this address is another one.
    gateway::RunReport foreign = stating(0.25);
    foreign.isWrongServer = true;
    table.noteReport(serverId(0), foreign, false, timers.now(), journal);
    CHECK(absl::StrContains(table.describe(serverId(0)), "momentary=4.00"));
}

// Failure: a good figure lifts what a cold, brittle, limited or failing server must not get.
TEST_CASE("a stated cost lifts no other bound of a backend server")
{
    core::VirtualTimerService timers;
    gateway::BackendTable table(core::InstanceId("gw-1"), timers);
    prepare(table, 1);
    FakeJournal journal;
    gateway::RunReport report = stating(GENERATE(0.25, 2.5));
    SECTION("cold")
    {
        gateway::BackendServer cold = *table.find(serverId(0));
        cold.coldLeft = absl::Seconds(3);
        table.announce(cold);
        table.noteReport(serverId(0), report, true, timers.now(), journal);
        const serverload::RunStart start = table.started(serverId(0), 0, 12'000, {});
        CHECK_FALSE(table.choose(query(12'000)));
        // What it does while it is cold is not its usual speed.
        table.answered(serverId(0), 0, 12'000, absl::Seconds(2), start);
        timers.advance(absl::Seconds(4));
        CHECK(table.readRate(SERVICE) == Approx(45.0));
    }
    SECTION("brittle")
    {
        report.brittleRate = 2;
        table.noteReport(serverId(0), report, true, timers.now(), journal);
        for (int run = 0; run < 64; ++run) {
            table.started(serverId(0), 0, 0, {});
        }
        CHECK_FALSE(table.choose(query(12'000)));
    }
    SECTION("limited")
    {
        report.requestLimit = 0;
        table.noteReport(serverId(0), report, true, timers.now(), journal);
        CHECK_FALSE(table.choose(query(12'000)));
        CHECK(table.readRate(SERVICE) == 0);
    }
}
