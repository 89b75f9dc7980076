#pragma once

#include "snipeferry/core/ids.h"

/**
 * Positions in the store's history.
 *
 * A store that comes back from a copy gives its revisions out again. Its era rises with each return, so a revision is kept together with the era that it is
 * from: the era in the upper bits, the store's own counter in the lower ones. Later positions have higher numbers across eras, and two states with the same
 * counter from different eras never have the same position. The era is 0 for a store that names none, and in messages of earlier builds.
 */
namespace snipeferry::gateway {

constexpr int POSITION_COUNTER_BITS = 40;
constexpr std::int64_t MAX_POSITION_COUNTER = (std::int64_t{1} << POSITION_COUNTER_BITS) - 1;
constexpr std::int64_t MAX_STORE_ERA = (std::int64_t{1} << (62 - POSITION_COUNTER_BITS)) - 1;

/** @brief The position of a counter in an era; both at most their maximum. */
constexpr core::Revision positionOf(std::int64_t era, std::int64_t counter)
{
    return (era << POSITION_COUNTER_BITS) | counter;
}

constexpr std::int64_t eraOf(core::Revision position)
{
    return position >> POSITION_COUNTER_BITS;
}

/** @brief The store's own counter. */
constexpr std::int64_t counterOf(core::Revision position)
{
    return position & MAX_POSITION_COUNTER;
}

} // namespace snipeferry::gateway
