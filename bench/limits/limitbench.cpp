#include "snipeferry/limits/ratelimiter.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace snipeferry;

// Cost of fleet-wide limits at one instance: per reservation, per configuration, and memory per customer.

namespace {

constexpr int DATA_CENTRES = 26;
constexpr int REGIONS = 13;
constexpr int SLOTS_PER_DATA_CENTRE = 16;

configuration::Configuration fleetConfiguration(int customers)
{
    configuration::Configuration configuration;
    configuration.revision = 1;
    configuration.slotsPerDataCentre = SLOTS_PER_DATA_CENTRE;
    std::vector<core::RegionId> regions;
    for (int region = 0; region < REGIONS; ++region) {
        regions.emplace_back("region-" + std::to_string(region));
        configuration::Region entry{regions.back(), {}};
        for (int i = 0; i < DATA_CENTRES / REGIONS; ++i) {
            entry.dataCentres.push_back({core::DataCentreId("dc-" + std::to_string(region) + "-" + std::to_string(i)), 1});
        }
        configuration.regions.push_back(entry);
    }
    for (int i = 0; i < customers; ++i) {
        configuration::Customer customer;
        customer.id = core::CustomerId("customer-" + std::to_string(i));
        customer.ratePerSecond = 1'000'000;
        customer.burst = 100'000'000;
        customer.allowedRegions = regions;
        configuration.customers.push_back(customer);
    }
    return configuration;
}

/** One instance that owns one slot of its data centre; the platform answers at once. */
struct Instance
{
    explicit Instance(const configuration::Configuration &configuration)
        : book({}, {core::InstanceId("i"), 1, core::DataCentreId("dc-0-0"), "", "", false}, timers, outbox)
    {
        book.configure(configuration);
        for (int i = 0; i < 20; ++i) {
            timers.advance(absl::Milliseconds(250));
            answerPlatform();
        }
    }

    void answerPlatform()
    {
        for (const messages::Action &action : outbox.take()) {
            const platform::Call *call = std::get_if<platform::Call>(&action);
            if (call == nullptr) {
                continue;
            }
            platform::Reply reply;
            reply.id = call->id;
            reply.outcome = platform::Outcome::Answered;
            reply.succeeded = true;
            reply.storeRevision = ++revision;
            book.handle(messages::PlatformReplied{reply});
        }
    }

    core::VirtualTimerService timers;
    messages::Outbox outbox;
    limits::RateLimiter book;
    std::int64_t revision = 0;
};

void reserveAndSettle(benchmark::State &state)
{
    Instance instance(fleetConfiguration(static_cast<int>(state.range(0))));
    std::size_t admitted = 0;
    instance.book.decided().subscribe([&](const limits::ReservationDecision &decision) { admitted += decision.refusal ? 0 : 1; });
    std::uint64_t number = 0;
    for (auto _ : state) {
        const core::RequestId request("r" + std::to_string(++number));
        const core::CustomerId customer("customer-" + std::to_string(number % static_cast<std::uint64_t>(state.range(0))));
        instance.book.reserve(request, customer, 10, absl::Milliseconds(400));
        instance.book.settle(request, 5);
        instance.outbox.take();
    }
    state.counters["admitted"] = static_cast<double>(admitted) / static_cast<double>(std::max<std::uint64_t>(1, number));
}

void serveGrant(benchmark::State &state)
{
    Instance instance(fleetConfiguration(static_cast<int>(state.range(0))));
    std::uint64_t number = 0;
    for (auto _ : state) {
        ++number;
        const core::CustomerId customer("customer-" + std::to_string(number % static_cast<std::uint64_t>(state.range(0))));
        instance.book.handle(messages::PeerReceived{core::InstanceId("other"), limits::TokenRequest{1, number, customer, 1'000'000, true}});
        instance.book.handle(messages::PeerReceived{core::InstanceId("other"), limits::TokenReturn{1, number, customer, 500'000, true}});
        instance.outbox.take();
    }
}

void tickWithActiveCustomers(benchmark::State &state)
{
    Instance instance(fleetConfiguration(4200));
    std::uint64_t number = 0;
    for (auto _ : state) {
        state.PauseTiming();
        for (int i = 0; i < state.range(0); ++i) {
            const core::RequestId request("r" + std::to_string(++number));
            instance.book.reserve(request, core::CustomerId("customer-" + std::to_string(i)), 10, absl::Milliseconds(400));
            instance.book.settle(request, 10);
        }
        state.ResumeTiming();
        instance.timers.advance(absl::Milliseconds(100));
        instance.outbox.take();
    }
}

void configureAll(benchmark::State &state)
{
    configuration::Configuration configuration = fleetConfiguration(static_cast<int>(state.range(0)));
    Instance instance(configuration);
    for (auto _ : state) {
        ++configuration.revision;
        instance.book.configure(configuration);
        instance.outbox.take();
    }
    const std::size_t before = mallinfo2().uordblks;
    const Instance second(configuration);
    state.counters["bytes_per_customer"] = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(state.range(0));
}

} // namespace

BENCHMARK(reserveAndSettle)->Arg(100)->Arg(1000)->Arg(4200)->Unit(benchmark::kMicrosecond);
BENCHMARK(serveGrant)->Arg(100)->Arg(1000)->Arg(4200)->Unit(benchmark::kMicrosecond);
BENCHMARK(tickWithActiveCustomers)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);
BENCHMARK(configureAll)->Arg(100)->Arg(1000)->Arg(4200)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
