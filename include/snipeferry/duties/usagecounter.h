#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/duties/usage.h"

#include <deque>
#include <map>

namespace snipeferry::duties {

/** Wall-clock time without the jumps of the wall clock: the steady clock plus the median offset of the last seconds. */
class WallClock
{
public:
    explicit WallClock(core::TimerService &timers);

    /** @brief Takes a sample of the offset. To be called about once a second. */
    void sample();

    /** @brief The wall-clock time at an instant of TimerService::now(). */
    absl::Time at(absl::Time instant) const;
    absl::Time now() const;

private:
    core::TimerService &m_timers;
    std::deque<absl::Duration> m_offsets;
    absl::Duration m_offset;
};

/** Counts the runs that began at the backend servers of this instance, by window and customer. */
class UsageCounter
{
public:
    UsageCounter(core::TimerService &timers, absl::Duration windowLength);

    /**
     * @brief Counts a run.
     * @param at when it began, by TimerService::now()
     */
    void began(const std::string &customer, absl::Time at);

    /** @brief Takes a sample of the clock and forgets old windows. To be called about once a second. */
    void tick();

    /** @brief Cumulative counts of the last windows, empty ones left out. */
    std::vector<WindowUsage> lastWindows() const;

    const WallClock &clock() const;

private:
    absl::Duration m_windowLength;
    WallClock m_clock;
    std::map<WindowNumber, UsageCounts> m_windows;
};

} // namespace snipeferry::duties
