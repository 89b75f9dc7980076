#include "limitfleet.h"
#include "snipeferry/limits/sharelayout.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

using namespace snipeferry;
using testing::LimitFleet;
using testing::PlatformMode;

namespace {

constexpr int NODES_PER_DATA_CENTRE = 3;
constexpr int STEPS = 1200;

/** One fault of a random schedule. */
struct Fault
{
    int type = 0;
    std::size_t node = 0;
    int step = 0;
    int length = 0;
};

constexpr int FAULT_TYPES = 11;

// Uses fixed seeds unless RC_PARAMS is set in the environment. RapidCheck prints the parameters.
[[maybe_unused]] const int FIXED_SEEDS = setenv("RC_PARAMS", "seed=20261204 max_success=40", 0);

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
    return out << "{type " << fault.type << ", node " << fault.node << ", step " << fault.step << ", length " << fault.length << "}";
}

void cutOff(LimitFleet &fleet, std::size_t node, bool outward, bool inward, bool isCut)
{
    for (std::size_t other = 0; other < fleet.nodes.size(); ++other) {
        const bool isSameDataCentre = fleet.nodes[other].self.dataCentre == fleet.nodes[node].self.dataCentre;
        for (const auto &link : {std::make_pair(node, other), std::make_pair(other, node)}) {
            const bool isAffected = !isSameDataCentre && (link.first == node ? outward : inward);
            if (isAffected && isCut) {
                fleet.cuts.insert(link);
            } else if (isAffected) {
                fleet.cuts.erase(link);
            }
        }
    }
}

void cutDataCentre(LimitFleet &fleet, std::size_t node, bool outward, bool inward, bool isCut)
{
    for (std::size_t member = 0; member < fleet.nodes.size(); ++member) {
        if (fleet.nodes[member].self.dataCentre == fleet.nodes[node].self.dataCentre) {
            cutOff(fleet, member, outward, inward, isCut);
        }
    }
}

void setPlatform(LimitFleet &fleet, PlatformMode mode)
{
    for (LimitFleet::Node &node : fleet.nodes) {
        node.platform = mode;
    }
}

// Changes rates, bursts, allowed regions and the number of slots, so that shares also move between slots.
void changeLimits(LimitFleet &fleet, configuration::Configuration &configuration, int variant)
{
    const configuration::Configuration before = configuration;
    ++configuration.revision;
    if (variant % 5 == 0) {
        configuration.slotsPerDataCentre = configuration.slotsPerDataCentre == 4 ? 2 : 4;
    }
    for (configuration::Customer &customer : configuration.customers) {
        if (variant % 4 == 0) {
            customer.allowedRegions = {configuration.regions[static_cast<std::size_t>(variant) % 3].id};
        } else if (variant % 4 == 1) {
            customer.allowedRegions = {configuration.regions[0].id, configuration.regions[1].id, configuration.regions[2].id};
        }
        customer.ratePerSecond = variant % 2 == 0 ? 400 : 1500;
        customer.burst = variant % 3 == 0 ? 500 : 2500;
    }
    if (limits::movesShares(before, configuration)) {
        configuration.layoutRevision = configuration.revision;
    }
    fleet.accept(configuration);
}

void apply(LimitFleet &fleet, configuration::Configuration &configuration, const Fault &fault, bool begins)
{
    const PlatformMode mode = begins ? static_cast<PlatformMode>(1 + fault.length % 4) : PlatformMode::Up;
    switch (fault.type) {
    case 0:
        cutDataCentre(fleet, fault.node, true, true, begins);
        break;
    case 1:
        cutDataCentre(fleet, fault.node, true, false, begins);
        break;
    case 2:
        cutDataCentre(fleet, fault.node, false, true, begins);
        break;
    case 3:
        if (begins) {
            fleet.freeze(fault.node, absl::Milliseconds(10 * fault.length));
        }
        break;
    case 4:
        if (begins) {
            fleet.crash(fault.node);
        } else {
            fleet.restart(fault.node);
        }
        break;
    case 5:
        if (begins) {
            fleet.restart(fault.node);
        }
        break;
    case 6:
        fleet.nodes[fault.node].platform = mode;
        break;
    case 7:
        setPlatform(fleet, mode);
        break;
    case 8:
        fleet.lossPermille = begins ? 200 : 0;
        fleet.duplicatePermille = begins ? 200 : 0;
        break;
    case 9:
        if (begins) {
            fleet.drain(fault.node);
        } else {
            fleet.restart(fault.node);
        }
        break;
    default:
        if (begins) {
            changeLimits(fleet, configuration, fault.length);
        }
        break;
    }
}

// Alternates bursts of many requests with quiet periods in which the buckets refill.
void sendTraffic(LimitFleet &fleet, const configuration::Configuration &configuration, int step)
{
    std::mt19937_64 &random = fleet.random();
    const bool isFlood = step % 400 < 120;
    const std::uint64_t requestCount = isFlood ? 4 : random() % 10 / 9;
    for (std::uint64_t i = 0; i < requestCount; ++i) {
        const configuration::Customer &customer = configuration.customers[random() % configuration.customers.size()];
        const core::Tokens bound = 1 + static_cast<core::Tokens>(random() % (isFlood ? 40 : 400));
        const core::Tokens used = random() % 3 == 0 ? bound : static_cast<core::Tokens>(random() % static_cast<std::uint64_t>(bound + 1));
        const absl::Duration duration = absl::Milliseconds(random() % 10 == 0 ? random() % 8000 : random() % 300);
        fleet.offer(random() % fleet.nodes.size(), customer.id, bound, used, duration, absl::Milliseconds(400));
    }
    if (random() % 100 == 0) {
        // Sends an occasional request that needs more tokens than the share of one slot.
        fleet.offer(random() % fleet.nodes.size(), configuration.customers.front().id, 900, static_cast<core::Tokens>(random() % 900), absl::Seconds(1),
            absl::Milliseconds(400));
    }
}

std::optional<std::string> runSchedule(std::uint64_t seed, const std::vector<Fault> &faults)
{
    configuration::Configuration configuration
        = testing::threeRegions({testing::customerWith("bar-do-sol", 1000, 2000), testing::customerWith("hotel-praia", 700, 1000)});
    LimitFleet fleet(seed, configuration, NODES_PER_DATA_CENTRE);
    for (int step = 0; step < STEPS; ++step) {
        for (const Fault &fault : faults) {
            if (fault.step == step) {
                apply(fleet, configuration, fault, true);
            }
            if (fault.step + fault.length == step) {
                apply(fleet, configuration, fault, false);
            }
        }
        sendTraffic(fleet, configuration, step);
        fleet.run(absl::Milliseconds(10));
    }
    fleet.run(absl::Seconds(2));
    return fleet.violation();
}

} // namespace

namespace rc {

template<>
struct Arbitrary<Fault>
{
    static Gen<Fault> arbitrary()
    {
        return gen::build<Fault>(gen::set(&Fault::type, gen::inRange(0, FAULT_TYPES)), gen::set(&Fault::node, gen::inRange<std::size_t>(0, 9)),
            gen::set(&Fault::step, gen::inRange(0, STEPS)), gen::set(&Fault::length, gen::inRange(1, 600)));
    }
};

} // namespace rc

TEST_CASE("no customer exceeds its rate and burst under random faults")
{
    const bool passed = rc::check("every window of every length", [](std::uint64_t seed, const std::vector<Fault> &faults) {
        const std::optional<std::string> violation = runSchedule(seed, faults);
        RC_ASSERT(violation.value_or("") == "");
    });
    CHECK(passed);
}
