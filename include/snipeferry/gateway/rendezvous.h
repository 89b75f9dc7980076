#pragma once

#include "snipeferry/core/ids.h"

#include <string>
#include <vector>

/**
 * Rendezvous hashing: every instance ranks the same places for the same key without messages.
 */
namespace snipeferry::gateway {

/** @brief Weight of a place for a key, from 0 to 1; the place with the highest weight comes first. */
double rendezvousWeight(const std::string &key, const std::string &place);

/** @brief The first instance for a key; empty for an empty list. */
core::InstanceId rendezvousFirst(const std::string &key, const std::vector<core::InstanceId> &instances);

} // namespace snipeferry::gateway
