#include "snipeferry/admission/requestqueue.h"
#include "snipeferry/peak/peakledger.h"
#include "snipeferry/routing/router.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <random>

/**
 * Cost of one decision at several sizes. Each benchmark also reports the 99th percentile of single decisions.
 */

using namespace snipeferry;

namespace {

constexpr int PROMPT_BLOCKS = 32;
constexpr double PERCENTILE = 0.99;
constexpr int REGIONS = 13;
constexpr int DATA_CENTRES_PER_REGION = 2;

/** Collects the durations of single decisions. */
class LatencySample
{
public:
    template<typename Decision>
    void measure(Decision decision)
    {
        const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
        decision();
        m_nanoseconds.push_back(std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count());
    }

    void reportTo(benchmark::State &state)
    {
        std::sort(m_nanoseconds.begin(), m_nanoseconds.end());
        state.counters["p99_us"] = m_nanoseconds[static_cast<std::size_t>(static_cast<double>(m_nanoseconds.size() - 1) * PERCENTILE)] / 1000;
    }

private:
    std::vector<double> m_nanoseconds;
};

core::RegionId region(int index)
{
    return core::RegionId("region-" + std::to_string(index));
}

core::DataCentreId dataCentre(int regionIndex, int index)
{
    return core::DataCentreId("dc-" + std::to_string(regionIndex) + "-" + std::to_string(index));
}

configuration::Configuration thirteenRegions()
{
    configuration::Configuration configuration;
    for (int i = 0; i < REGIONS; ++i) {
        configuration::Region entry{region(i), {}};
        for (int j = 0; j < DATA_CENTRES_PER_REGION; ++j) {
            entry.dataCentres.push_back({dataCentre(i, j), 1});
        }
        configuration.regions.push_back(entry);
        if (i > 0) {
            configuration.links.push_back({region(0), region(i), 140'000'000, absl::Milliseconds(55)});
        }
    }
    return configuration;
}

std::vector<membership::Member> members(int count)
{
    std::vector<membership::Member> members;
    for (int i = 0; i < count; ++i) {
        membership::Member member;
        member.description.id = core::InstanceId("instance-" + std::to_string(i));
        member.description.dataCentre = dataCentre(i % REGIONS, i / REGIONS % DATA_CENTRES_PER_REGION);
        member.isUsable = true;
        member.isLinked = true;
        member.loads = {{core::ServiceId("chat"), core::VersionId("v1"), 1000, i % 1000, 0}};
        members.push_back(member);
    }
    return members;
}

/** Chooses, starts and finishes requests at a data centre that holds all runners. */
void routingDecision(benchmark::State &state)
{
    const int runners = static_cast<int>(state.range(0));
    const int customers = static_cast<int>(state.range(1));
    core::VirtualTimerService timers;
    routing::Router router(dataCentre(0, 0), 1, timers);
    router.configure(thirteenRegions());
    router.setMembers(members(420));
    std::vector<platform::BackendServer> servers;
    servers.reserve(static_cast<std::size_t>(runners));
    for (int i = 0; i < runners; ++i) {
        servers.push_back({core::BackendServerId("runner-" + std::to_string(i)), dataCentre(0, 0), core::ServiceId("chat"), core::VersionId("v1"),
            "10.0.0.1:80", 16, false, false, true});
    }
    router.setDirectory(servers);

    // Each customer has a prefix of its own; half of the requests in flight at any time fill half of the slots.
    std::mt19937_64 random(1);
    const std::size_t kept = static_cast<std::size_t>(runners) * 8;
    std::vector<core::RequestId> inFlight;
    std::size_t oldest = 0;
    std::uint64_t number = 0;
    LatencySample sample;
    for (auto _ : state) {
        state.PauseTiming();
        routing::RouteQuery query;
        query.request = core::RequestId("request-" + std::to_string(++number));
        query.service = core::ServiceId("chat");
        query.version = core::VersionId("v1");
        query.tokenBound = 1500;
        query.promptTokens = 1000;
        query.bodyBytes = 4000;
        const std::uint64_t customer = random() % static_cast<std::uint64_t>(customers);
        for (int i = 0; i < PROMPT_BLOCKS; ++i) {
            query.prefixHashes.push_back(i < PROMPT_BLOCKS / 2 ? customer * 1000 + static_cast<std::uint64_t>(i) : random());
        }
        for (int i = 0; i < REGIONS; ++i) {
            query.allowedRegions.push_back(region(i));
        }
        state.ResumeTiming();
        core::Expected<routing::RouteChoice> choice;
        sample.measure([&] { choice = router.choose(query); });
        state.PauseTiming();
        if (choice) {
            router.started(query, *choice);
            inFlight.push_back(query.request);
        }
        if (inFlight.size() - oldest > kept) {
            router.finished(inFlight[oldest++], false);
        }
        timers.advance(absl::Microseconds(100));
        state.ResumeTiming();
    }
    sample.reportTo(state);
}

void queuePushAndPop(benchmark::State &state)
{
    const int customers = static_cast<int>(state.range(0));
    admission::RequestQueue queue({10'000, 2'500});
    std::mt19937_64 random(1);
    std::uint64_t number = 0;
    const auto makeRequest = [&] {
        admission::QueuedRequest request;
        request.request = core::RequestId("request-" + std::to_string(++number));
        request.customer = core::CustomerId("customer-" + std::to_string(random() % static_cast<std::uint64_t>(customers)));
        request.service = core::ServiceId("chat");
        request.cost = 1000;
        request.deadline = absl::UnixEpoch() + absl::Milliseconds(random() % 100'000);
        return request;
    };
    for (int i = 0; i < 2000; ++i) {
        (void)queue.push(makeRequest(), absl::UnixEpoch());
    }
    LatencySample sample;
    for (auto _ : state) {
        const admission::QueuedRequest request = makeRequest();
        sample.measure([&] {
            benchmark::DoNotOptimize(queue.push(request, absl::UnixEpoch()));
            benchmark::DoNotOptimize(queue.pop(absl::UnixEpoch(), [](const admission::QueuedRequest &) { return true; }));
        });
    }
    sample.reportTo(state);
}

void ledgerAdvice(benchmark::State &state)
{
    const int instances = static_cast<int>(state.range(0));
    core::VirtualTimerService timers;
    messages::Outbox outbox;
    membership::InstanceDescription self;
    self.id = core::InstanceId("self");
    self.dataCentre = dataCentre(0, 0);
    peak::PeakLedger ledger(self, timers, outbox);
    ledger.configure(thirteenRegions());
    const std::int64_t minute = absl::ToUnixSeconds(timers.wallNow()) / 60;
    peak::LedgerReport report;
    for (int i = 0; i < instances; ++i) {
        for (const std::int64_t recent : {minute - 2, minute - 1, minute}) {
            report.uses.push_back({core::InstanceId("instance-" + std::to_string(i)), region(i % REGIONS), recent, 100'000});
        }
    }
    ledger.handle(messages::PeerReceived{core::InstanceId("peer"), report});
    peak::PeakQuery query{1'000'000'000, {}, absl::Minutes(2)};
    for (int i = 0; i < REGIONS; ++i) {
        query.allowedRegions.push_back(region(i));
    }
    LatencySample sample;
    for (auto _ : state) {
        sample.measure([&] { benchmark::DoNotOptimize(ledger.advise(query)); });
    }
    sample.reportTo(state);
}

BENCHMARK(routingDecision)->Args({20, 42})->Args({200, 420})->Args({2000, 4200})->Args({8000, 16800})->Iterations(100'000);
BENCHMARK(queuePushAndPop)->Arg(5)->Arg(420)->Arg(4200)->Iterations(100'000);
BENCHMARK(ledgerAdvice)->Arg(8)->Arg(42)->Arg(420)->Iterations(20'000);

} // namespace

BENCHMARK_MAIN();
