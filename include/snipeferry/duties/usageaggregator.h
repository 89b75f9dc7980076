#pragma once

#include "snipeferry/core/ids.h"
#include "snipeferry/duties/usagecounter.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace snipeferry::duties {

/** Sums the counts of the instances of one region. Each region has two aggregators, so that one is left if the other fails. */
class UsageAggregator
{
public:
    UsageAggregator(core::TimerService &timers, absl::Duration windowLength);

    /** @brief Takes the counts of an instance, this one included. They replace what its process told before. */
    void note(const core::InstanceId &sender, const UsageNotice &notice);

    /**
     * @brief Windows that are over and have not been returned yet, with the sums of the region.
     * @param seesRegion whether this instance hears of at least half of the region's instances; otherwise the other part has time to write its sums first
     */
    std::vector<WindowUsage> takeClosed(bool seesRegion);

    /** @brief The store has come back from a copy and may lack the sums that were written: they are returned again. */
    void storeReturned();

private:
    /** Wall-clock time as the median of the instances has it, so that one wrong clock closes no window too early or too late. */
    absl::Time wallNow() const;

    using Source = std::pair<core::InstanceId, std::uint64_t>;
    struct Clock
    {
        absl::Time heardAt;
        absl::Duration offset;
    };

    core::TimerService &m_timers;
    absl::Duration m_windowLength;
    absl::Time m_startedAt;
    std::map<core::InstanceId, Clock> m_clocks;
    std::map<WindowNumber, std::map<Source, UsageCounts>> m_windows;
    std::set<WindowNumber> m_closed;
};

} // namespace snipeferry::duties
