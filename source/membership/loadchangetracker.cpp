#include "loadchangetracker.h"

#include <algorithm>
#include <cstdlib>

namespace snipeferry::membership {

namespace {

/** A change of the busy slots or waiting requests is not sent if it is smaller than the number of slots divided by this divisor. */
constexpr int SIGNIFICANT_CHANGE_DIVISOR = 16;
/** Limit on the loads that are stored in a list; further service versions are not added. */
constexpr std::size_t MAX_LOADS = 1024;

std::vector<ServiceLoad>::iterator findLoad(std::vector<ServiceLoad> &loads, const ServiceLoad &wanted)
{
    return std::find_if(loads.begin(), loads.end(), [&](const ServiceLoad &load) {
        return load.service == wanted.service && load.version == wanted.version; //
    });
}

bool isSignificantChange(const ServiceLoad &before, const ServiceLoad &now)
{
    const int threshold = std::max(1, now.slots / SIGNIFICANT_CHANGE_DIVISOR);
    const bool hasBecomeFullOrFree = (before.busy < before.slots) != (now.busy < now.slots);
    return before.slots != now.slots || hasBecomeFullOrFree || std::abs(before.busy - now.busy) >= threshold
        || std::abs(before.waiting - now.waiting) >= threshold;
}

} // namespace

void LoadChangeTracker::markAllSent(const std::vector<ServiceLoad> &loads)
{
    m_sentLoads = loads;
}

std::vector<ServiceLoad> LoadChangeTracker::takeChanges(const std::vector<ServiceLoad> &loads)
{
    std::vector<ServiceLoad> changes;
    for (const ServiceLoad &load : loads) {
        const auto sentLoad = findLoad(m_sentLoads, load);
        if (sentLoad == m_sentLoads.end() || isSignificantChange(*sentLoad, load)) {
            changes.push_back(load);
        }
    }
    applyChanges(m_sentLoads, changes);
    return changes;
}

void applyChanges(std::vector<ServiceLoad> &loads, const std::vector<ServiceLoad> &changes)
{
    for (const ServiceLoad &change : changes) {
        const auto knownLoad = findLoad(loads, change);
        if (knownLoad != loads.end()) {
            *knownLoad = change;
        } else if (loads.size() < MAX_LOADS) {
            loads.push_back(change);
        }
    }
}

} // namespace snipeferry::membership
