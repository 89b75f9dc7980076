#include "snipeferry/overload/urgency.h"

#include <algorithm>

namespace snipeferry::overload {

namespace {

/** Priorities that are told apart on each side: 0, 1, and 2 and above. Their pairs fit into the ten ranks that backend servers distinguish. */
constexpr int PRIORITY_RANKS = 3;
static_assert(PRIORITY_RANKS * PRIORITY_RANKS == URGENCY_LEVELS);

int rankOf(int priority)
{
    return std::clamp(priority, 0, PRIORITY_RANKS - 1);
}

} // namespace

int urgencyOf(std::optional<int> customerPriority, int routePriority)
{
    return PRIORITY_RANKS * rankOf(customerPriority.value_or(routePriority)) + rankOf(routePriority);
}

} // namespace snipeferry::overload
