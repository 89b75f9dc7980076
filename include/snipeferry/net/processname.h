#pragma once

#include "snipeferry/gateway/gateway.h"

namespace snipeferry::net {

/**
 * @brief Gives a process of an instance a name and numbers for its runs that no other process of the instance has.
 *
 * The time of the start alone is no name: clocks are set back, and two starts may fall into the same millisecond.
 * @param settings self.incarnation, self.bootId, flow.seed and firstRunNumber are set
 * @param now time of day
 */
void nameProcess(gateway::GatewaySettings &settings, absl::Time now);

} // namespace snipeferry::net
