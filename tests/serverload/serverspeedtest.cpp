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

RunStart readingOf(std::int64_t tokens)
{
    RunStart start;
    start.tokensToRead = tokens;
    start.ownTokens = tokens;
    return start;
}

} // namespace

// Guards against expected times that take every engine for equally fast: engines read 57 or 157 tokens per ms, at speeds of 0.6 to 1.6.
TEST_CASE("the reading rate of each server is learned from 20 answers")
{
    for (const double usual : {56.9, 157.0}) {
        ServiceSpeed service;
        CHECK(service.readRate() == Approx(45.0));
        std::vector<ServerSpeed> servers(3);
        const std::vector<double> speeds{0.6, 1.0, 1.6};
        std::mt19937_64 random(71);
        std::uniform_int_distribution<std::int64_t> tokens(6'610, 20'000);
        for (int run = 0; run < 20; ++run) {
            for (std::size_t index = 0; index < servers.size(); ++index) {
                const std::int64_t read = tokens(random);
                servers[index].noteAnswer(readingOf(read), timeFor(read, usual * speeds[index]), BEGIN, service);
            }
        }
        for (std::size_t index = 0; index < servers.size(); ++index) {
            CHECK(servers[index].readRate(service) == Approx(usual * speeds[index]).epsilon(0.25));
        }
        // A server that is not known yet counts as one of its service.
        CHECK(ServerSpeed().readRate(service) == Approx(service.readRate()));
        CHECK(service.readRate() == Approx(usual).epsilon(0.25));
    }
}

// Guards against a rate that drops because runs waited for something else than the reading.
TEST_CASE("runs that waited for a slot and short prompts say nothing of the rate")
{
    ServiceSpeed service;
    ServerSpeed server;
    RunStart waited = readingOf(12'000);
    waited.hasWaitedForSlot = true;
    for (int run = 0; run < 100; ++run) {
        server.noteAnswer(waited, absl::Seconds(3), BEGIN, service);
        server.noteAnswer(readingOf(999), absl::Seconds(3), BEGIN, service);
        server.noteAnswer(RunStart(), absl::Seconds(3), BEGIN, service);
    }
    CHECK(server.readRate(service) == Approx(45.0));
}

TEST_CASE("a single run at a stalled server does not decide its rate")
{
    ServiceSpeed service;
    ServerSpeed server;
    for (int run = 0; run < 50; ++run) {
        server.noteAnswer(readingOf(12'000), timeFor(12'000, 100), BEGIN, service);
    }
    server.noteAnswer(readingOf(12'000), absl::Seconds(30), BEGIN, service);
    CHECK(server.readRate(service) > 70);
}

TEST_CASE("rates stay within their bounds whatever is measured")
{
    ServiceSpeed service;
    ServerSpeed server;
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
            RunStart start = readingOf(12'000);
            start.momentaryFactor = server.momentaryFactor(now);
            now += absl::Milliseconds(100);
            server.noteMomentaryCost(cost, now);
            server.noteAnswer(start, timeFor(12'000, 150, cost), now, service);
        }
        if (phase > 5) {
            CHECK(server.readRate(service) == Approx(150.0).epsilon(0.25));
        }
    }
}

TEST_CASE("a stated cost fades over the time of a disturbance and says nothing after a second")
{
    ServerSpeed server;
    CHECK(server.momentaryFactor(BEGIN) == 1.0);
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

// A figure of 0 would make a server look free, one of 10,000 would shut it out.
TEST_CASE("stated costs outside the bounds are clamped")
{
    ServerSpeed server;
    for (const double cost : {0.0, 0.01, 0.2499}) {
        CHECK_FALSE(server.noteMomentaryCost(cost, BEGIN));
        CHECK(server.momentaryFactor(BEGIN) == 0.25);
    }
    for (const double cost : {4.01, 100.0, 1e300}) {
        CHECK_FALSE(server.noteMomentaryCost(cost, BEGIN));
        CHECK(server.momentaryFactor(BEGIN) == 4.0);
    }
}

// A server that always states a quarter of its true cost gets at most that much out of it, and its answers take it back.
TEST_CASE("a cost that is always stated falsely is balanced by the learned rate")
{
    constexpr std::int64_t TOKENS = 40'000;
    for (const double stated : {0.25, 4.0}) {
        ServiceSpeed service;
        ServerSpeed server;
        absl::Time now = BEGIN;
        for (int run = 0; run < 40; ++run) {
            server.noteMomentaryCost(stated, now);
            RunStart start = readingOf(TOKENS);
            start.momentaryFactor = server.momentaryFactor(now);
            now += absl::Milliseconds(20);
            server.noteMomentaryCost(stated, now);
            server.noteAnswer(start, timeFor(TOKENS, 100), now, service);
        }
        const double expected = (serverload::BASE_LATENCY_MS + static_cast<double>(TOKENS) / server.readRate(service)) * server.momentaryFactor(now);
        CHECK(expected == Approx(absl::ToDoubleMilliseconds(timeFor(TOKENS, 100))).epsilon(0.25));
    }
}
