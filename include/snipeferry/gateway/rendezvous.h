#pragma once

#include "snipeferry/core/ids.h"

#include <cstddef>
#include <string>
#include <vector>

/**
 * Rendezvous hashing: every instance ranks the nodes for a key in the same order, without messages.
 */
namespace snipeferry::gateway {

/** @brief Weight of a node for a key, from 0 to 1. The node with the highest weight is the first. */
double rendezvousWeight(const std::string &key, const std::string &node);

/** @brief The instance with the highest weight for a key; empty for an empty list. */
core::InstanceId rendezvousFirst(const std::string &key, const std::vector<core::InstanceId> &instances);

/** @brief Number of instances with a higher weight for a key than one of them has. */
std::size_t rendezvousRank(const std::string &key, const core::InstanceId &instance, const std::vector<core::InstanceId> &instances);

} // namespace snipeferry::gateway
