#pragma once

#include "snipeferry/membership/messages.h"

#include <vector>

/**
 * Tracks which loads of this instance were sent to a receiver, so that only changes are sent.
 */
namespace snipeferry::membership {

/** Stores the loads that were last sent on one link. */
class LoadChangeTracker
{
public:
    /** @brief Records that all loads were sent. */
    void markAllSent(const std::vector<ServiceLoad> &loads);

    /** @brief Returns the loads that changed significantly since they were last sent, and records them as sent. */
    std::vector<ServiceLoad> takeChanges(const std::vector<ServiceLoad> &loads);

private:
    std::vector<ServiceLoad> m_sentLoads;
};

/** @brief Updates a list of loads with changed and new ones. */
void applyChanges(std::vector<ServiceLoad> &loads, const std::vector<ServiceLoad> &changes);

} // namespace snipeferry::membership
