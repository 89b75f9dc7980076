#include "snipeferry/duties/usageaggregator.h"

#include <algorithm>

namespace snipeferry::duties {

namespace {

/** Time after the end of a window until its sums are written: notices are sent each second, and half a second is left for their way. */
constexpr absl::Duration CLOSE_DELAY = absl::Milliseconds(1500);
/** The same for an instance that hears of less than half of its region. The holder waits 8 s at most. */
constexpr absl::Duration CUT_OFF_CLOSE_DELAY = absl::Seconds(4);
/** Sums of older windows are of no use: their reports are due 10 s after the end. */
constexpr absl::Duration LAST_CLOSE = absl::Seconds(9);
/** Age at which a process has links to its region and has heard of all counts: before, it may take itself for the only instance. */
constexpr absl::Duration FIRST_CLOSE_AGE = absl::Seconds(4);
/** A clock that was not told for so long does not count. */
constexpr absl::Duration CLOCK_AGE = absl::Seconds(5);

} // namespace

UsageAggregator::UsageAggregator(core::TimerService &timers, absl::Duration windowLength)
    : m_timers(timers),
      m_windowLength(windowLength),
      m_startedAt(timers.now())
{
}

void UsageAggregator::note(const core::InstanceId &sender, const UsageNotice &notice)
{
    const absl::Time now = m_timers.now();
    m_clocks[sender] = {now, absl::FromUnixMillis(notice.sentAtMs) - now};
    const WindowNumber newest = windowAt(wallNow(), m_windowLength);
    const WindowNumber oldest = newest - static_cast<WindowNumber>(LAST_CLOSE / m_windowLength) - 2;
    for (const WindowUsage &usage : notice.windows) {
        // A sender whose clock is far off must not fill the memory.
        if (usage.window >= oldest && usage.window <= newest + 2) {
            m_windows[usage.window][{sender, notice.process}] = usage.counts;
        }
    }
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(oldest));
    m_closed.erase(m_closed.begin(), m_closed.lower_bound(oldest));
}

std::vector<WindowUsage> UsageAggregator::takeClosed(bool seesRegion)
{
    std::vector<WindowUsage> closed;
    const absl::Time wall = wallNow();
    const absl::Duration age = m_timers.now() - m_startedAt;
    if (age < FIRST_CLOSE_AGE) {
        return closed;
    }
    const absl::Duration delay = seesRegion ? CLOSE_DELAY : CUT_OFF_CLOSE_DELAY;
    const absl::Time earliestEnd = wall - std::min(age, LAST_CLOSE);
    for (WindowNumber window = windowAt(earliestEnd, m_windowLength); windowEnd(window, m_windowLength) + delay <= wall; ++window) {
        if (!m_closed.insert(window).second) {
            continue;
        }
        WindowUsage sums{window, {}};
        const auto it = m_windows.find(window);
        if (it != m_windows.end()) {
            for (const auto &source : it->second) {
                for (const auto &count : source.second) {
                    sums.counts[count.first] += count.second;
                }
            }
        }
        closed.push_back(std::move(sums));
    }
    return closed;
}

void UsageAggregator::storeReturned()
{
    m_closed.clear();
}

absl::Time UsageAggregator::wallNow() const
{
    const absl::Time now = m_timers.now();
    std::vector<absl::Duration> offsets;
    for (const auto &entry : m_clocks) {
        if (now - entry.second.heardAt <= CLOCK_AGE) {
            offsets.push_back(entry.second.offset);
        }
    }
    if (offsets.empty()) {
        return m_timers.wallNow();
    }
    std::sort(offsets.begin(), offsets.end());
    return now + offsets[(offsets.size() - 1) / 2];
}

} // namespace snipeferry::duties
