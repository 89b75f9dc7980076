#include "snipeferry/gateway/repeatbudget.h"

#include <algorithm>

namespace snipeferry::gateway {

namespace {

/** Part of the bound that is used; instances' windows do not begin at the same time. */
constexpr double USED_PART = 0.8;

} // namespace

RepeatBudget::RepeatBudget(RepeatBudgetSettings settings, core::TimerService &timers)
    : m_settings(settings),
      m_timers(timers)
{
}

void RepeatBudget::setInstanceCount(int count)
{
    m_count = std::max(1, count);
}

void RepeatBudget::forget(Counter &counter) const
{
    const absl::Time limit = m_timers.now() - m_settings.window;
    while (!counter.requests.empty() && counter.requests.front() < limit) {
        counter.requests.pop_front();
    }
    while (!counter.repeats.empty() && counter.repeats.front() < limit) {
        counter.repeats.pop_front();
    }
}

void RepeatBudget::noteRequest(const core::ServiceId &service)
{
    Counter &counter = m_counters[service];
    forget(counter);
    counter.requests.push_back(m_timers.now());
}

double RepeatBudget::permitted(const Counter &counter) const
{
    return USED_PART * (m_settings.share * static_cast<double>(counter.requests.size()) + m_settings.slack / m_count);
}

double RepeatBudget::left(const core::ServiceId &service)
{
    Counter &counter = m_counters[service];
    forget(counter);
    return permitted(counter) - static_cast<double>(counter.repeats.size());
}

bool RepeatBudget::tryTake(const core::ServiceId &service)
{
    Counter &counter = m_counters[service];
    forget(counter);
    if (static_cast<double>(counter.repeats.size()) + 1 > permitted(counter)) {
        return false;
    }
    counter.repeats.push_back(m_timers.now());
    return true;
}

} // namespace snipeferry::gateway
