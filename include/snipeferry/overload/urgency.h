#pragma once

#include <optional>

/**
 * Decisions under shortage: which requests get the room at backend servers, and which are refused.
 *
 * The code in this namespace uses no sockets, threads or system clocks.
 */
namespace snipeferry::overload {

/** Urgency levels that queues distinguish; level 0 is served first. */
constexpr int URGENCY_LEVELS = 9;

/**
 * @brief The urgency level of a request: the customer's priority decides, and between customers of the same priority the route's.
 * @param customerPriority empty if the request has no customer, or the customer states no priority; the route's priority then stands in for it
 * @param routePriority 0 is the most urgent
 * @return from 0 to URGENCY_LEVELS - 1
 */
int urgencyOf(std::optional<int> customerPriority, int routePriority);

} // namespace snipeferry::overload
