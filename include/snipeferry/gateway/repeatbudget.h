#pragma once

#include "snipeferry/core/ids.h"
#include "snipeferry/core/timerservice.h"

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace snipeferry::gateway {

/** Fleet-wide limit on repeats, that is, requests that are sent to a backend server again after a failure. */
struct RepeatBudgetSettings
{
    /** Permitted repeats as a fraction of a service's requests. */
    double share = 0.2;
    /** Permitted repeats in addition to the share, for all instances together. */
    double slack = 0;
    /** Time for which requests and repeats count. */
    absl::Duration window = absl::Seconds(10);
};

/**
 * This instance's part of the fleet-wide limit on repeats, for each service.
 *
 * The share applies to this instance's own requests, so the parts of all instances add up to the whole limit without messages.
 */
class RepeatBudget
{
public:
    RepeatBudget(RepeatBudgetSettings settings, core::TimerService &timers);

    void setInstanceCount(int count);
    /** @brief Counts a new request of the service. */
    void noteRequest(const core::ServiceId &service);

    /** @brief Takes one repeat from the service's budget; false if none is left. */
    bool tryTake(const core::ServiceId &service);

    /** @brief Number of the service's requests that may be repeated now. */
    double remaining(const core::ServiceId &service);

private:
    struct Counter
    {
        std::deque<absl::Time> requests;
        std::deque<absl::Time> repeats;
    };

    void removeExpired(Counter &counter) const;
    double permittedRepeats(const Counter &counter) const;

    RepeatBudgetSettings m_settings;
    core::TimerService &m_timers;
    int m_instanceCount = 1;
    absl::flat_hash_map<core::ServiceId, Counter> m_counters;
};

} // namespace snipeferry::gateway
