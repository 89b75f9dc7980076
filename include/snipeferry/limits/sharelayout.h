#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/limits/messages.h"

#include <vector>

/**
 * Division of each customer's rate and burst over limit slots.
 */
namespace snipeferry::limits {

/** A limit slot is one shard of the rate limits. At any time at most one instance of the slot's data centre owns the slot and issues its tokens. */
struct SlotId
{
    core::DataCentreId dataCentre;
    int index = 0;

    SNIPEFERRY_VALUE(SlotId, dataCentre, index)

    friend bool operator<(const SlotId &left, const SlotId &right)
    {
        return left.tied() < right.tied();
    }
};

/** Part of a customer's rate and burst that one slot issues. */
struct SlotShare
{
    MicroTokens ratePerSecond = 0;
    MicroTokens burst = 0;

    SNIPEFERRY_VALUE(SlotShare, ratePerSecond, burst)
};

/** A slot that holds a share of a customer's limit. */
struct HomeSlot
{
    SlotId slot;
    SlotShare share;

    SNIPEFERRY_VALUE(HomeSlot, slot, share)
};

/** Number of home slots that each customer has in each data centre. */
constexpr int HOMES_PER_DATA_CENTRE = 2;

/**
 * @brief Divides a customer's rate and burst over its home slots.
 *
 * The home slots are chosen by rendezvous hashing in each data centre of the allowed regions. The shares add up exactly to the customer's rate
 * and burst.
 * @param configuration gives the data centres, their limit weights and the number of slots
 * @return the home slots, in the configured order of data centres
 */
std::vector<HomeSlot> homeSlots(const configuration::Configuration &configuration, const configuration::Customer &customer);

/**
 * @brief Returns whether a change of the configuration moves a part of any customer's limit from one slot to another.
 *
 * New customers and changes of rates and bursts do not move shares.
 */
bool movesShares(const configuration::Configuration &before, const configuration::Configuration &after);

/** @brief Returns all limit slots of one data centre. */
std::vector<SlotId> slotsOf(const configuration::Configuration &configuration, const core::DataCentreId &dataCentre);

} // namespace snipeferry::limits
