#include "snipeferry/limits/sharelayout.h"

#include <absl/numeric/int128.h>
#include <xxhash.h>

#include <algorithm>
#include <map>

namespace snipeferry::limits {

namespace {

MicroTokens weightedPart(core::Tokens whole, std::int64_t weight, std::int64_t weightSum)
{
    const absl::uint128 product = absl::uint128(static_cast<std::uint64_t>(whole)) * MICRO_TOKENS_PER_TOKEN * static_cast<std::uint64_t>(weight);
    return static_cast<MicroTokens>(absl::Uint128Low64(product / static_cast<std::uint64_t>(weightSum)));
}

struct ScoredSlot
{
    std::uint64_t score = 0;
    int index = 0;
};

// Returns the slots of one data centre with the highest rendezvous-hashing scores for the customer, best first.
std::vector<ScoredSlot> bestSlots(int slotCount, const core::DataCentreId &dataCentre, const core::CustomerId &customer)
{
    const std::uint64_t seed = XXH64(dataCentre.value().data(), dataCentre.value().size(), 0);
    std::vector<ScoredSlot> best;
    best.reserve(HOMES_PER_DATA_CENTRE + 1);
    for (int index = 0; index < slotCount; ++index) {
        const ScoredSlot slot{XXH64(customer.value().data(), customer.value().size(), seed + static_cast<std::uint64_t>(index)), index};
        const auto position = std::find_if(best.begin(), best.end(), [&](const ScoredSlot &other) { return other.score < slot.score; });
        best.insert(position, slot);
        if (best.size() > HOMES_PER_DATA_CENTRE) {
            best.pop_back();
        }
    }
    return best;
}

} // namespace

std::vector<SlotId> slotsOf(const configuration::Configuration &configuration, const core::DataCentreId &dataCentre)
{
    std::vector<SlotId> slots;
    slots.reserve(static_cast<std::size_t>(std::max(0, configuration.slotsPerDataCentre)));
    for (int index = 0; index < configuration.slotsPerDataCentre; ++index) {
        slots.push_back({dataCentre, index});
    }
    return slots;
}

bool movesShares(const configuration::Configuration &before, const configuration::Configuration &after)
{
    if (before.customers.empty()) {
        return false;
    }
    if (before.regions != after.regions || before.slotsPerDataCentre != after.slotsPerDataCentre) {
        return true;
    }
    std::map<core::CustomerId, const configuration::Customer *> customersBefore;
    for (const configuration::Customer &customer : before.customers) {
        customersBefore[customer.id] = &customer;
    }
    return std::any_of(after.customers.begin(), after.customers.end(), [&](const configuration::Customer &customer) {
        const auto it = customersBefore.find(customer.id);
        return it != customersBefore.end() && it->second->allowedRegions != customer.allowedRegions;
    });
}

std::vector<HomeSlot> homeSlots(const configuration::Configuration &configuration, const configuration::Customer &customer)
{
    // Chooses the home slots in each data centre of the allowed regions.
    std::vector<HomeSlot> homes;
    std::vector<std::int64_t> weights;
    std::int64_t weightSum = 0;
    for (const configuration::Region &region : configuration.regions) {
        if (!configuration::isRegionAllowed(customer, region.id)) {
            continue;
        }
        for (const configuration::DataCentre &dataCentre : region.dataCentres) {
            for (const ScoredSlot &slot : bestSlots(configuration.slotsPerDataCentre, dataCentre.id, customer.id)) {
                homes.push_back({{dataCentre.id, slot.index}, {}});
                weights.push_back(std::max(0, dataCentre.limitWeight));
                weightSum += weights.back();
            }
        }
    }
    if (weightSum == 0) {
        return {};
    }

    // Rounds each share down and adds the remainder to the first home slot that has a weight.
    MicroTokens rateLeft = customer.ratePerSecond * MICRO_TOKENS_PER_TOKEN;
    MicroTokens burstLeft = customer.burst * MICRO_TOKENS_PER_TOKEN;
    for (std::size_t i = 0; i < homes.size(); ++i) {
        homes[i].share = {weightedPart(customer.ratePerSecond, weights[i], weightSum), weightedPart(customer.burst, weights[i], weightSum)};
        rateLeft -= homes[i].share.ratePerSecond;
        burstLeft -= homes[i].share.burst;
    }
    const auto first = std::find_if(weights.begin(), weights.end(), [](std::int64_t weight) { return weight > 0; });
    HomeSlot &home = homes[static_cast<std::size_t>(first - weights.begin())];
    home.share.ratePerSecond += rateLeft;
    home.share.burst += burstLeft;
    homes.shrink_to_fit();
    return homes;
}

} // namespace snipeferry::limits
