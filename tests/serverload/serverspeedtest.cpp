#include "snipeferry/serverload/serverspeed.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace snipeferry;
using serverload::RunStart;
using serverload::ServerSpeed;
using serverload::ServiceSpeed;

namespace {

const absl::Time BEGIN = absl::UnixEpoch() + absl::Hours(1);

/** Time to the first data of a run at a server that reads this many tokens per millisecond. */
absl::Duration timeFor(std::int64_t tokens, double tokensPerMs, double cost = 1.0)
{
    return absl::Milliseconds((serverload::BASE_LATENCY_MS + static_cast<double>(tokens) / tokensPerMs) * cost);
}

RunStart readingOf(std::int64_t tokens, double momentaryFactor = 1.0, bool hasWaitedForSlot = false)
{
    return {tokens, tokens, hasWaitedForSlot, momentaryFactor};
}

} // namespace

// Guards against expected times that take every engine for equally fast: engines read 57 or 157 tokens per ms, at speeds of 0.6 to 1.6.
TEST_CASE("the reading rate of each server is learned from 20 answers")
{
    const double usual = GENERATE(56.9, 157.0);
    ServiceSpeed service;
    CHECK(service.readRate() == Approx(45.0));
    std::vector<ServerSpeed> servers(3);
    const std::vector<double> speeds{0.6, 1.0, 1.6};
    std::mt19937_64 random(71);
    std::uniform_int_distribution<std::int64_t> tokens(6'610, 20'000);
    for (int run = 0; run < 60; ++run) {
        const std::int64_t read = tokens(random);
        servers[run % 3].noteAnswer(readingOf(read), timeFor(read, usual * speeds[run % 3]), BEGIN, service);
    }
    for (std::size_t index = 0; index < servers.size(); ++index) {
        CHECK(servers[index].readRate(service) == Approx(usual * speeds[index]).epsilon(0.25));
    }
    // A server that is not known yet counts as one of its service.
    CHECK(ServerSpeed().readRate(service) == Approx(service.readRate()));
    CHECK(service.readRate() == Approx(usual).epsilon(0.25));
}

// Guards against a rate that drops because runs waited for something else than the reading, and against rates out of all bounds.
TEST_CASE("waits for a slot, short prompts and stalls do not decide the rate")
{
    ServiceSpeed service;
    ServerSpeed server;
    for (int run = 0; run < 100; ++run) {
        for (const RunStart &start : {readingOf(12'000, 1.0, true), readingOf(999), RunStart()}) {
            server.noteAnswer(start, absl::Seconds(3), BEGIN, service);
        }
    }
    CHECK(server.readRate(service) == Approx(45.0));
    for (int run = 0; run < 50; ++run) {
        server.noteAnswer(readingOf(12'000), timeFor(12'000, 100), BEGIN, service);
    }
    server.noteAnswer(readingOf(12'000), absl::Seconds(30), BEGIN, service);
    CHECK(server.readRate(service) > 70);
    for (const absl::Duration latency : {absl::ZeroDuration(), absl::Hours(9), -absl::Seconds(1)}) {
        for (int run = 0; run < 2000; ++run) {
            server.noteAnswer(readingOf(1'000'000), latency, BEGIN, service);
            REQUIRE((server.readRate(service) >= 4.0 && server.readRate(service) <= 2000.0));
        }
    }
}

// At any moment 15 in 100 servers work 2.5 times slower for 600 ms; their answers must not be taken for their usual speed.
TEST_CASE("disturbances that the server states do not change its learned rate")
{
    std::mt19937_64 random(5);
    std::bernoulli_distribution isDisturbed(0.15);
    ServiceSpeed service;
    ServerSpeed server;
    absl::Time now = BEGIN;
    for (int phase = 0; phase < 200; ++phase) {
        const double cost = isDisturbed(random) ? 2.5 : 1.0;
        for (int run = 0; run < 6; ++run) {
            const RunStart start = readingOf(12'000, server.momentaryFactor(now));
            now += absl::Milliseconds(100);
            server.noteMomentaryCost(cost, now);
            server.noteAnswer(start, timeFor(12'000, 150, cost), now, service);
        }
        CHECK((phase < 5 || server.readRate(service) == Approx(150.0).epsilon(0.25)));
    }
}

// A figure of 0 would make a server look free, one of 10,000 would shut it out.
TEST_CASE("a stated cost is clamped, fades over the time of a disturbance and says nothing after a second")
{
    ServerSpeed server;
    CHECK(server.momentaryFactor(BEGIN) == 1.0);
    for (const double cost : {0.0, 0.01, 100.0, 1e300}) {
        CHECK_FALSE(server.noteMomentaryCost(cost, BEGIN));
        CHECK(server.momentaryFactor(BEGIN) == (cost < 1 ? 0.25 : 4.0));
    }
    CHECK(server.noteMomentaryCost(2.5, BEGIN));
    CHECK(server.momentaryFactor(BEGIN) == Approx(2.5));
    CHECK(server.momentaryFactor(BEGIN + absl::Milliseconds(600)) == Approx(1.0 + 1.5 / 2.71828).epsilon(0.001));
    CHECK(server.momentaryFactor(BEGIN + absl::Milliseconds(1001)) == 1.0);
    // A short job is done within the disturbance, a long one mostly after it.
    CHECK(server.meanFactor(BEGIN, 200) > 2.2);
    CHECK(server.meanFactor(BEGIN, 2000) < 1.5);
    CHECK(server.noteMomentaryCost(1.0, BEGIN));
    CHECK(server.isUsual());
}

// A server that always states a quarter of its true cost, or four times as much, gets at most that much out of it, and its answers take it back.
TEST_CASE("a cost that is always stated falsely is balanced by the learned rate")
{
    constexpr std::int64_t TOKENS = 40'000;
    const double stated = GENERATE(0.25, 4.0);
    ServiceSpeed service;
    ServerSpeed server;
    absl::Time now = BEGIN;
    for (int run = 0; run < 40; ++run) {
        server.noteMomentaryCost(stated, now);
        server.noteAnswer(readingOf(TOKENS, stated), timeFor(TOKENS, 100), now, service);
        now += absl::Milliseconds(20);
    }
    const double expected = (serverload::BASE_LATENCY_MS + static_cast<double>(TOKENS) / server.readRate(service)) * stated;
    CHECK(expected == Approx(absl::ToDoubleMilliseconds(timeFor(TOKENS, 100))).epsilon(0.25));
}
