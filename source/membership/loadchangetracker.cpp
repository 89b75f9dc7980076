#include "loadchangetracker.h"

#include <algorithm>
#include <cstdlib>

namespace snipeferry::membership {

namespace {

/** Changes smaller than the number of slots divided by this are not sent. */
constexpr int SIGNIFICANT_CHANGE_DIVISOR = 16;
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
    const bool fullStateChanged = (before.busy < before.slots) != (now.busy < now.slots);
    return before.slots != now.slots || fullStateChanged || std::abs(before.busy - now.busy) >= threshold
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
        const auto sent = findLoad(m_sentLoads, load);
        if (sent == m_sentLoads.end() || isSignificantChange(*sent, load)) {
            changes.push_back(load);
        }
    }
    applyChanges(m_sentLoads, changes);
    return changes;
}

void applyChanges(std::vector<ServiceLoad> &loads, const std::vector<ServiceLoad> &changes)
{
    for (const ServiceLoad &change : changes) {
        const auto known = findLoad(loads, change);
        if (known != loads.end()) {
            *known = change;
        } else if (loads.size() < MAX_LOADS) {
            loads.push_back(change);
        }
    }
}

} // namespace snipeferry::membership
