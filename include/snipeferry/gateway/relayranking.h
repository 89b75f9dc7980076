#pragma once

#include "snipeferry/gateway/model.h"

#include <vector>

namespace snipeferry::gateway {

/**
 * A region with at most this many instances has no relays: each instance sends its pulses to all others, which costs more with the square. A fleet with
 * more instances keeps fewer links between regions.
 */
constexpr std::size_t MAX_FULLY_LINKED_INSTANCES = 40;
/** Relays that each instance of a large region reports to. One is left if one fails while another restarts. */
constexpr std::size_t RELAYS_PER_REGION = 3;

/**
 * @brief Chooses a region's relays among its usable members: the best of each data centre, and then the next best of the region.
 *
 * The best is the one with the largest capacity; rendezvous hashing decides between equal ones. Instances that know the same members choose the same
 * relays without messages.
 * @param members usable members of one region, in any order
 * @return identifiers of the relays, the best first
 */
std::vector<core::InstanceId> chooseRelays(const std::vector<const Member *> &members);

} // namespace snipeferry::gateway
