#pragma once

#include "snipeferry/membership/messages.h"

#include <vector>

/**
 * Finds the loads of this instance that changed since they were last sent to a member, so that only these are sent.
 */
namespace snipeferry::membership {

/** Stores the loads that were last sent to one member. */
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

/** @brief Replaces the loads in a list that changed, and adds those that are new. */
void applyChanges(std::vector<ServiceLoad> &loads, const std::vector<ServiceLoad> &changes);

} // namespace snipeferry::membership
