#include "limitfleet.h"
#include "snipeferry/limits/slotbucket.h"

#include <catch2/catch.hpp>

#include <iomanip>
#include <iostream>

using namespace snipeferry;
using testing::LimitFleet;

// Measures and prints how many requests are refused although the customer's total use is within its rate.

namespace {

const core::CustomerId CUSTOMER("bar-do-sol");
constexpr core::Tokens RATE = 1000;
constexpr core::Tokens BURST = 2000;

// Returns how many of these requests one token bucket shared by all instances would refuse, with no network delay and no waiting.
std::size_t refusedByOneBucket(const std::vector<testing::Offer> &offers, std::size_t first)
{
    constexpr limits::MicroTokens TOKEN = limits::MICRO_TOKENS_PER_TOKEN;
    limits::SlotBucket bucket({RATE * TOKEN, BURST * TOKEN}, BURST * TOKEN, offers.at(first).offeredAt);
    std::multimap<absl::Time, std::pair<limits::BucketMark, limits::MicroTokens>> settlements;
    std::size_t refusedCount = 0;
    for (std::size_t i = first; i < offers.size(); ++i) {
        const testing::Offer &offer = offers[i];
        while (!settlements.empty() && settlements.begin()->first <= offer.offeredAt) {
            bucket.credit(settlements.begin()->second.first, settlements.begin()->second.second, settlements.begin()->first);
            settlements.erase(settlements.begin());
        }
        if (bucket.level(offer.offeredAt) < offer.amount * TOKEN) {
            ++refusedCount;
            continue;
        }
        const limits::BucketMark mark = bucket.debit(offer.amount * TOKEN, offer.offeredAt);
        settlements.emplace(offer.offeredAt + offer.duration, std::make_pair(mark, (offer.amount - offer.used) * TOKEN));
    }
    return refusedCount;
}

struct Outcome
{
    std::size_t offeredCount = 0;
    std::size_t refusedCount = 0;
    std::size_t refusedByOneBucketCount = 0;
    absl::Duration longestWait;

    double refusedPercent() const
    {
        return offeredCount == 0 ? 0 : 100.0 * static_cast<double>(refusedCount) / static_cast<double>(offeredCount);
    }
};

// Sends requests that together use the given share of the rate to the given instances, and counts the results.
Outcome offerLoad(LimitFleet &fleet, const std::vector<std::size_t> &entries, double share, absl::Duration loadDuration, core::Tokens largestAmount)
{
    const std::size_t first = fleet.offers.size();
    const absl::Time end = fleet.now() + loadDuration;
    double tokensDue = 0;
    while (fleet.now() < end) {
        tokensDue += RATE * share / 100;
        while (tokensDue > 0) {
            const core::Tokens amount = 1 + static_cast<core::Tokens>(fleet.random()() % static_cast<std::uint64_t>(largestAmount));
            const core::Tokens used = amount - static_cast<core::Tokens>(fleet.random()() % static_cast<std::uint64_t>(1 + amount / 2));
            tokensDue -= static_cast<double>(used);
            fleet.offer(
                entries[fleet.random()() % entries.size()], CUSTOMER, amount, used, absl::Milliseconds(fleet.random()() % 2000), absl::Milliseconds(400));
        }
        fleet.run(absl::Milliseconds(10));
    }
    fleet.run(absl::Seconds(1));
    Outcome outcome;
    for (std::size_t i = first; i < fleet.offers.size(); ++i) {
        const testing::Offer &offer = fleet.offers[i];
        ++outcome.offeredCount;
        outcome.refusedCount += offer.admittedAt ? 0 : 1;
        outcome.longestWait = std::max(outcome.longestWait, offer.decidedAt - offer.offeredAt);
    }
    outcome.refusedByOneBucketCount = refusedByOneBucket(fleet.offers, first);
    return outcome;
}

void print(const std::string &name, const Outcome &outcome)
{
    std::cout << std::left << std::setw(64) << name << std::right << std::setw(6) << outcome.offeredCount << " offered " << std::setw(5) << outcome.refusedCount
              << " refused (" << std::fixed << std::setprecision(2) << outcome.refusedPercent() << "%), refused by a single bucket "
              << outcome.refusedByOneBucketCount << ", longest wait for a decision " << absl::ToDoubleMilliseconds(outcome.longestWait) << " ms\n";
}

LimitFleet makeFleet(std::uint64_t seed)
{
    LimitFleet fleet(seed, testing::threeRegions({testing::customerWith(CUSTOMER.value(), RATE, BURST)}), 3);
    return fleet;
}

const std::vector<std::size_t> ALL = {0, 1, 2, 3, 4, 5, 6, 7, 8};

} // namespace

TEST_CASE("use: refusals inside the rate, all instances reachable")
{
    for (const double share : {0.5, 0.8, 0.95}) {
        LimitFleet fleet = makeFleet(7);
        fleet.run(absl::Seconds(5));
        const Outcome allEntriesOutcome = offerLoad(fleet, ALL, share, absl::Seconds(60), 200);
        print("no faults, nine entries, load " + std::to_string(share), allEntriesOutcome);
        LimitFleet oneEntryFleet = makeFleet(8);
        oneEntryFleet.run(absl::Seconds(5));
        const Outcome oneEntryOutcome = offerLoad(oneEntryFleet, {0}, share, absl::Seconds(60), 200);
        print("no faults, one entry, load " + std::to_string(share), oneEntryOutcome);
        LimitFleet largeRequestFleet = makeFleet(9);
        largeRequestFleet.run(absl::Seconds(5));
        const Outcome largeRequestsOutcome = offerLoad(largeRequestFleet, ALL, share, absl::Seconds(60), 1000);
        print("no faults, nine entries, requests up to half the burst, load " + std::to_string(share), largeRequestsOutcome);
        INFO(fleet.violation().value_or("no violation"));
        CHECK_FALSE(fleet.violation().has_value());
    }
}

TEST_CASE("use: refusals inside the rate, one data centre cut off")
{
    LimitFleet fleet = makeFleet(7);
    fleet.run(absl::Seconds(5));
    for (std::size_t insideNode = 0; insideNode < 3; ++insideNode) {
        fleet.nodes[insideNode].platform = testing::PlatformMode::Down;
        for (std::size_t outsideNode = 3; outsideNode < 9; ++outsideNode) {
            fleet.cuts.insert({insideNode, outsideNode});
            fleet.cuts.insert({outsideNode, insideNode});
        }
    }
    print("cut off: inside, load 0.3 of the rate", offerLoad(fleet, {0, 1, 2}, 0.3, absl::Seconds(30), 200));
    print("cut off: outside, load 0.6 of the rate", offerLoad(fleet, {3, 4, 5, 6, 7, 8}, 0.6, absl::Seconds(30), 200));
    print("cut off: all entries, load 0.8 of the rate", offerLoad(fleet, ALL, 0.8, absl::Seconds(30), 200));
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}

TEST_CASE("use: refusals inside the rate after a crash")
{
    LimitFleet fleet = makeFleet(7);
    fleet.run(absl::Seconds(5));
    // Crashes an owner of one of the customer's six home slots.
    const core::InstanceId owner = fleet.nodes[3].limiter->homes(CUSTOMER).front();
    std::size_t crashedNode = 0;
    std::vector<std::size_t> remainingNodes;
    for (const std::size_t node : ALL) {
        if (fleet.nodes[node].self.id == owner) {
            crashedNode = node;
        } else {
            remainingNodes.push_back(node);
        }
    }
    fleet.crash(crashedNode);
    print("crash of one of nine: first 10 s, load 0.8", offerLoad(fleet, remainingNodes, 0.8, absl::Seconds(10), 200));
    print("crash of one of nine: next 30 s, load 0.8", offerLoad(fleet, remainingNodes, 0.8, absl::Seconds(30), 200));
    print("crash of one of nine: next 30 s, load 0.95", offerLoad(fleet, remainingNodes, 0.95, absl::Seconds(30), 200));
    fleet.restart(crashedNode);
    print("restarted at the same address: first 10 s, load 0.8", offerLoad(fleet, ALL, 0.8, absl::Seconds(10), 200));
    print("restarted at the same address: next 30 s, load 0.8", offerLoad(fleet, ALL, 0.8, absl::Seconds(30), 200));
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}
