#pragma once

#include "snipeferry/core/ids.h"
#include "snipeferry/core/timerservice.h"

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace snipeferry::gateway {

/** Fleet-wide bound of requests sent to a second backend server. */
struct RepeatBudgetSettings
{
    /** Permitted repeats as a part of a service's requests. */
    double share = 0.2;
    /** Permitted repeats beside the share, of all instances together. */
    double slack = 0;
    absl::Duration window = absl::Seconds(10);
};

/**
 * This instance's part of the fleet-wide budget of repeats, for each service.
 *
 * The share is of this instance's own requests, so that the parts of all instances add up to the whole without messages.
 */
class RepeatBudget
{
public:
    RepeatBudget(RepeatBudgetSettings settings, core::TimerService &timers);

    void setInstanceCount(int count);
    void noteRequest(const core::ServiceId &service);

    /** @brief Takes the right to send one request of the service once more. */
    bool tryTake(const core::ServiceId &service);

    /** @brief How many more requests of the service may be sent once more now. */
    double left(const core::ServiceId &service);

private:
    struct Counter
    {
        std::deque<absl::Time> requests;
        std::deque<absl::Time> repeats;
    };

    void forget(Counter &counter) const;
    double permitted(const Counter &counter) const;

    RepeatBudgetSettings m_settings;
    core::TimerService &m_timers;
    int m_count = 1;
    absl::flat_hash_map<core::ServiceId, Counter> m_counters;
};

} // namespace snipeferry::gateway
