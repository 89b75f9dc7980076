#include "snipeferry/duties/usagecounter.h"

#include <algorithm>
#include <vector>

namespace snipeferry::duties {

namespace {

/** Samples of the clock offset, one a second. A jump of the wall clock counts after half of them, which is longer than a window of 5 s. */
constexpr std::size_t CLOCK_SAMPLES = 15;
/** Windows that are told. A report is composed 3 to 8 s after the end of its window, which is within four windows of 5 s. */
constexpr std::size_t TOLD_WINDOWS = 4;

} // namespace

WallClock::WallClock(core::TimerService &timers)
    : m_timers(timers),
      m_offset(timers.wallNow() - timers.now())
{
}

void WallClock::sample()
{
    m_offsets.push_back(m_timers.wallNow() - m_timers.now());
    if (m_offsets.size() > CLOCK_SAMPLES) {
        m_offsets.pop_front();
    }
    std::vector<absl::Duration> sorted(m_offsets.begin(), m_offsets.end());
    std::sort(sorted.begin(), sorted.end());
    m_offset = sorted[sorted.size() / 2];
}

absl::Time WallClock::at(absl::Time instant) const
{
    return instant + m_offset;
}

absl::Time WallClock::now() const
{
    return at(m_timers.now());
}

UsageCounter::UsageCounter(core::TimerService &timers, absl::Duration windowLength)
    : m_windowLength(windowLength),
      m_clock(timers)
{
}

void UsageCounter::began(const std::string &customer, absl::Time at)
{
    ++m_windows[windowAt(m_clock.at(at), m_windowLength)][customer];
}

void UsageCounter::tick()
{
    m_clock.sample();
    while (m_windows.size() > TOLD_WINDOWS) {
        m_windows.erase(m_windows.begin());
    }
}

std::vector<WindowUsage> UsageCounter::lastWindows() const
{
    std::vector<WindowUsage> windows;
    for (const auto &entry : m_windows) {
        windows.push_back({entry.first, entry.second});
    }
    return windows;
}

const WallClock &UsageCounter::clock() const
{
    return m_clock;
}

} // namespace snipeferry::duties
