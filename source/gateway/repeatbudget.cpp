#include "snipeferry/gateway/repeatbudget.h"

#include <algorithm>

namespace snipeferry::gateway {

namespace {

/** Fraction of the limit that is used, because the instances' time windows do not begin together. */
constexpr double USED_SHARE = 0.8;

} // namespace

RepeatBudget::RepeatBudget(RepeatBudgetSettings settings, core::TimerService &timers)
    : m_settings(settings),
      m_timers(timers)
{
}

void RepeatBudget::setInstanceCount(int count)
{
    m_instanceCount = std::max(1, count);
}

void RepeatBudget::removeExpired(Counter &counter) const
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
    removeExpired(counter);
    counter.requests.push_back(m_timers.now());
}

double RepeatBudget::permittedRepeats(const Counter &counter) const
{
    return USED_SHARE * (m_settings.share * static_cast<double>(counter.requests.size()) + m_settings.slack / m_instanceCount);
}

double RepeatBudget::remaining(const core::ServiceId &service)
{
    Counter &counter = m_counters[service];
    removeExpired(counter);
    return permittedRepeats(counter) - static_cast<double>(counter.repeats.size());
}

bool RepeatBudget::tryTake(const core::ServiceId &service)
{
    Counter &counter = m_counters[service];
    removeExpired(counter);
    if (static_cast<double>(counter.repeats.size()) + 1 > permittedRepeats(counter)) {
        return false;
    }
    counter.repeats.push_back(m_timers.now());
    return true;
}

} // namespace snipeferry::gateway
