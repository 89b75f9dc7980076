#include "snipeferry/overload/customershares.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace snipeferry;

// Callers, instances and the queue of a service under virtual time: each instance admits a request if the wait is within the customer's bound.
namespace {

const core::ServiceId SERVICE("booking");
constexpr int LEVEL = 3;
constexpr int INSTANCES = 4;
constexpr double MEAN_WORK = 2400;
constexpr double OBJECTIVE_MS = 800;
constexpr double STEP_SECONDS = 0.01;

core::CustomerId customerName(int customer)
{
    return core::CustomerId(absl::StrCat("c", customer));
}

/** What customers ask for, in multiples of a usual customer, and how it reaches the instances. */
struct Load
{
    std::vector<double> customers;
    /** Work that the servers do in a second, in multiples of what a usual customer asks for. */
    double room = 0;
    /** Instance that gets all requests of customer 0: -1 for all alike, INSTANCES for another one each second. */
    int largestAt = -1;
    /** Whether the instances hear of each other. Instance 3 dies after half of the time if it is false for it. */
    bool hasReports = true;
    bool losesInstance = false;
    /** Size of every twentieth request of customer 1, in multiples of the mean. */
    double rareSize = 1;
    unsigned seed = 1;
};

struct Outcome
{
    std::vector<double> asked;
    std::vector<double> served;
    /** Requests of customer 1 by whether they are larger than the mean. */
    double rareAsked = 0;
    double rareServed = 0;
    int refused = 0;

    double servedPart(int customer) const
    {
        return served[static_cast<std::size_t>(customer)] / asked[static_cast<std::size_t>(customer)];
    }
};

Outcome play(const Load &load)
{
    constexpr double USUAL_REQUESTS_PER_SECOND = 20;
    constexpr int STEPS = 6000;
    constexpr int WARM_UP_STEPS = 800;
    core::VirtualTimerService timers;
    std::mt19937_64 random(load.seed);
    std::vector<std::unique_ptr<overload::CustomerShares>> instances;
    for (int instance = 0; instance < INSTANCES; ++instance) {
        instances.push_back(std::make_unique<overload::CustomerShares>(timers, load.seed + static_cast<unsigned>(instance)));
        std::vector<overload::CustomerLimit> limits;
        for (std::size_t customer = 0; customer < load.customers.size(); ++customer) {
            limits.push_back({customerName(static_cast<int>(customer)), 0, true});
        }
        instances.back()->setLimits(limits);
    }
    // What each instance was asked for since its last report, a second ago.
    std::vector<std::vector<double>> asked(INSTANCES, std::vector<double>(load.customers.size(), 0));
    Outcome outcome;
    outcome.asked.assign(load.customers.size(), 0);
    outcome.served.assign(load.customers.size(), 0);
    const double workPerMs = load.room * USUAL_REQUESTS_PER_SECOND * MEAN_WORK / 1000;
    double queued = 0;
    for (int step = 0; step < STEPS; ++step) {
        timers.advance(absl::Seconds(STEP_SECONDS));
        queued = std::max(0.0, queued - workPerMs * STEP_SECONDS * 1000);
        const bool isInstanceLost = load.losesInstance && step > STEPS / 2;
        // No customer is always the first of a step.
        const std::size_t first = random() % load.customers.size();
        for (std::size_t position = 0; position < load.customers.size(); ++position) {
            const std::size_t customer = (first + position) % load.customers.size();
            std::poisson_distribution<int> arrivals(load.customers[customer] * USUAL_REQUESTS_PER_SECOND * STEP_SECONDS);
            for (int left = arrivals(random); left > 0; --left) {
                int at = static_cast<int>(random() % INSTANCES);
                if (customer == 0 && load.largestAt >= 0) {
                    at = load.largestAt < INSTANCES ? load.largestAt : static_cast<int>(step * STEP_SECONDS) % INSTANCES;
                }
                at = isInstanceLost && at == INSTANCES - 1 ? 0 : at;
                const bool isRare = customer == 1 && load.rareSize > 1 && random() % 20 == 0;
                const double work = isRare ? load.rareSize * MEAN_WORK : MEAN_WORK * std::uniform_real_distribution<double>(0.5, 1.5)(random);
                overload::CustomerShares &shares = *instances[static_cast<std::size_t>(at)];
                const core::CustomerId name = customerName(static_cast<int>(customer));
                shares.noteRequest(SERVICE, LEVEL, name, work, work);
                asked[static_cast<std::size_t>(at)][customer] += work;
                const double wait = queued / workPerMs;
                const double factor = shares.boundFactor(SERVICE, LEVEL, name);
                const bool isAdmitted = wait <= OBJECTIVE_MS * factor;
                queued += isAdmitted ? work : 0;
                if (!isAdmitted) {
                    shares.noteRefusal(SERVICE, LEVEL, work, factor);
                    ++outcome.refused;
                }
                if (step >= WARM_UP_STEPS) {
                    outcome.asked[customer] += work;
                    outcome.served[customer] += isAdmitted ? work : 0;
                    outcome.rareAsked += isRare ? 1 : 0;
                    outcome.rareServed += isRare && isAdmitted ? 1 : 0;
                }
            }
        }
        if (step % 100 != 99) {
            continue;
        }
        for (int from = 0; from < INSTANCES; ++from) {
            std::vector<overload::CustomerDemand> report;
            for (std::size_t customer = 0; customer < load.customers.size(); ++customer) {
                report.push_back({customerName(static_cast<int>(customer)), asked[static_cast<std::size_t>(from)][customer]});
            }
            asked[static_cast<std::size_t>(from)].assign(load.customers.size(), 0);
            for (int to = 0; to < INSTANCES; ++to) {
                if (to != from && load.hasReports && !(isInstanceLost && from == INSTANCES - 1)) {
                    instances[static_cast<std::size_t>(to)]->noteReport(core::InstanceId(absl::StrCat("gw-", from)), report);
                }
            }
        }
    }
    return outcome;
}

std::vector<double> customersWith(double largest, int count = 1)
{
    std::vector<double> customers(16, 1.0);
    std::fill(customers.begin(), customers.begin() + count, largest);
    return customers;
}

} // namespace

// Guards against a customer that asks for six times its usual load, within its rate limit, and displaces the others. The room is for 80% of the load.
TEST_CASE("a customer at six times its usual load leaves the others their even shares")
{
    Load load;
    load.customers = customersWith(6);
    load.room = 0.8 * 21;
    load.seed = GENERATE(1U, 2U, 3U);
    load.largestAt = GENERATE(-1, 0, static_cast<int>(INSTANCES));
    const Outcome outcome = play(load);
    CAPTURE(load.seed, load.largestAt);
    // The even share of the largest is the rest of the room, 1.8 of 6.
    for (int customer = 1; customer < 16; ++customer) {
        CAPTURE(customer, outcome.servedPart(customer));
        CHECK(outcome.servedPart(customer) >= 0.9);
    }
    CHECK(outcome.servedPart(0) * 6 >= 1.0);
}

// Guards against shares that only work for one large customer.
TEST_CASE("three customers at six times their usual load leave the others their even shares and have even ones")
{
    Load load;
    load.customers = customersWith(6, 3);
    load.room = 20;
    load.seed = GENERATE(1U, 2U, 3U);
    const Outcome outcome = play(load);
    for (int customer = 3; customer < 16; ++customer) {
        CHECK(outcome.servedPart(customer) >= 0.9);
    }
    // The even share is 20 - 13 for three customers.
    for (int customer = 0; customer < 3; ++customer) {
        CHECK(outcome.servedPart(customer) * 6 >= 0.75 * 7 / 3);
    }
}

// Guards against noise in the demand that takes from one of many customers that ask for the same.
TEST_CASE("sixteen customers that ask for the same are served alike under shortage")
{
    Load load;
    load.customers = customersWith(1);
    load.room = 16.0 / GENERATE(2.0, 5.0);
    load.seed = GENERATE(1U, 2U, 3U);
    const Outcome outcome = play(load);
    double total = 0;
    for (int customer = 0; customer < 16; ++customer) {
        total += outcome.servedPart(customer) / 16;
    }
    for (int customer = 0; customer < 16; ++customer) {
        CAPTURE(load.room, load.seed, customer);
        CHECK(outcome.servedPart(customer) >= 0.7 * total);
    }
    CHECK(total >= 0.9 * load.room / 16);
}

// Guards against a large customer that takes what little room there is: the load is five times the room.
TEST_CASE("at five times the room a customer at six times its usual load is served like the others")
{
    Load load;
    load.customers = customersWith(6);
    load.room = 21.0 / 5;
    load.seed = GENERATE(1U, 2U, 3U);
    const Outcome outcome = play(load);
    const double evenShare = load.room / 16;
    for (int customer = 1; customer < 16; ++customer) {
        CAPTURE(load.seed, customer);
        CHECK(outcome.servedPart(customer) >= 0.7 * evenShare);
    }
    CHECK(outcome.servedPart(0) * 6 >= 0.7 * evenShare);
    CHECK(outcome.servedPart(0) * 6 <= 2 * evenShare);
}

// Guards against large requests that are never admitted: every twentieth of a customer has 20 times the mean size.
TEST_CASE("requests of twenty times the mean size are served at least half as often as the rest of their customer")
{
    Load load;
    load.customers = customersWith(1);
    load.rareSize = 20;
    load.room = 10;
    load.seed = GENERATE(1U, 2U, 3U);
    const Outcome outcome = play(load);
    CAPTURE(load.seed, outcome.rareAsked, outcome.rareServed);
    REQUIRE(outcome.rareAsked > 0);
    CHECK(outcome.rareServed / outcome.rareAsked >= 0.5 * outcome.servedPart(1));
}

// Guards against shares that hold customers back while there is room for all.
TEST_CASE("no customer is held back while there is room to spare, however much it asks for")
{
    Load load;
    load.customers = customersWith(6);
    load.room = 1.3 * 21;
    load.seed = GENERATE(1U, 2U, 3U);
    CHECK(play(load).refused == 0);
}

// The same for waits that grow for a moment, as with a burst, and refuse nobody.
TEST_CASE("no customer is held back by a wait while nothing is refused")
{
    core::VirtualTimerService timers;
    overload::CustomerShares shares(timers, 1);
    for (int request = 0; request < 400; ++request) {
        timers.advance(absl::Milliseconds(10));
        const core::CustomerId customer = customerName(request % 7 == 0 ? 1 : 0);
        shares.noteRequest(SERVICE, LEVEL, customer, MEAN_WORK, MEAN_WORK);
        REQUIRE(shares.boundFactor(SERVICE, LEVEL, customer) == 1.0);
    }
}

// Guards against instances that need the reports of the others: links may be down.
TEST_CASE("shares hold with the own figures of each instance alone, and after an instance has died")
{
    Load load;
    load.customers = customersWith(6);
    load.room = 0.8 * 21;
    load.hasReports = GENERATE(true, false);
    load.losesInstance = load.hasReports;
    load.seed = GENERATE(1U, 2U);
    const Outcome outcome = play(load);
    for (int customer = 1; customer < 16; ++customer) {
        CAPTURE(load.hasReports, customer);
        CHECK(outcome.servedPart(customer) >= 0.85);
    }
}

TEST_CASE("the only customer of a service is not held back by its share")
{
    core::VirtualTimerService timers;
    overload::CustomerShares shares(timers, 1);
    for (int request = 0; request < 200; ++request) {
        timers.advance(absl::Milliseconds(10));
        shares.noteRequest(SERVICE, LEVEL, customerName(0), MEAN_WORK, MEAN_WORK);
        shares.noteRefusal(SERVICE, LEVEL, request % 2 == 0 ? MEAN_WORK : 0, 1.0);
        REQUIRE(shares.boundFactor(SERVICE, LEVEL, customerName(0)) == 1.0);
    }
}

// Guards against reports that count for ever: of an instance that has died, or of one that is cut off.
TEST_CASE("the report of an instance counts less with its age and not at all after five seconds")
{
    core::VirtualTimerService timers;
    overload::CustomerShares shares(timers, 1);
    shares.setLimits({{customerName(0), 0, true}, {customerName(1), 0, true}});
    const auto shareOfFirst = [&] {
        for (int request = 0; request < 20; ++request) {
            timers.advance(absl::Milliseconds(25));
            for (int customer = 0; customer < 2; ++customer) {
                shares.noteRequest(SERVICE, LEVEL, customerName(customer), MEAN_WORK, MEAN_WORK);
                shares.noteRefusal(SERVICE, LEVEL, 0.98 * MEAN_WORK, 0.5);
            }
        }
        return shares.share(SERVICE, LEVEL, customerName(0));
    };
    const auto shareAfter = [&](int halfSeconds) {
        for (int passed = 1; passed < halfSeconds; ++passed) {
            shareOfFirst();
        }
        return shareOfFirst();
    };
    CHECK(shareAfter(30) == Approx(1.0).margin(0.01));
    // Nine times of what this instance is asked for: the share is a tenth of that of the other customer.
    shares.noteReport(core::InstanceId("gw-2"), {{customerName(0), 9 * 40 * MEAN_WORK}});
    CHECK(shareAfter(2) == Approx(0.1).margin(0.02));
    // At 4 s the report counts a third.
    CHECK(shareAfter(6) == Approx(0.25).margin(0.05));
    CHECK(shareAfter(3) == Approx(1.0).margin(0.01));
}

// Guards against a memory that grows with the customers of months.
TEST_CASE("the memory holds 4,200 customers at most and forgets those that ask for nothing")
{
    core::VirtualTimerService timers;
    overload::CustomerShares shares(timers, 1);
    for (int customer = 0; customer < 5000; ++customer) {
        shares.noteRequest(SERVICE, LEVEL, customerName(customer), MEAN_WORK, MEAN_WORK);
    }
    CHECK(shares.customerCount() == overload::CustomerShares::MAX_CUSTOMERS);
    CHECK(shares.boundFactor(SERVICE, LEVEL, customerName(4999)) == 1.0);
    timers.advance(absl::Seconds(20));
    shares.noteRequest(SERVICE, LEVEL, customerName(4999), MEAN_WORK, MEAN_WORK);
    CHECK(shares.customerCount() == 1);
}
