#include "snipeferry/gateway/storecontact.h"

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Longest time between two answers of a store that works: the wait of a call for the operator's records, and the way from another region. */
constexpr absl::Duration MAX_ANSWER_INTERVAL = absl::Milliseconds(1200);

} // namespace

StoreContact::StoreContact(core::TimerService &timers, absl::Duration minOutage)
    : m_timers(timers),
      m_minOutage(minOutage),
      m_startedAt(timers.now())
{
}

StoreContact::Change StoreContact::noteAnswer()
{
    m_lastOwnAnswerAt = m_timers.now();
    return noteAnswerAt(m_timers.now());
}

StoreContact::Change StoreContact::notePeerAnswer(absl::Time at)
{
    return noteAnswerAt(std::min(at, m_timers.now()));
}

StoreContact::Change StoreContact::noteAnswerAt(absl::Time at)
{
    const absl::Time lastAnswerAt = std::exchange(m_lastAnswerAt, std::max(m_lastAnswerAt, at));
    if (!isInTrouble() || at < m_failedAt) {
        return Change::None;
    }
    // The calls of a silent connection fail late, so an outage may have begun long before the first of them.
    const bool isOutage = at - m_failedAt >= m_minOutage || at - lastAnswerAt >= MAX_ANSWER_INTERVAL + m_minOutage;
    if (isOutage) {
        m_awayTime += at - m_failedAt;
    }
    m_failedAt = absl::InfiniteFuture();
    if (!isOutage) {
        return Change::Regained;
    }
    m_workingTimeAtReturn = workingTime();
    return Change::RegainedAfterOutage;
}

StoreContact::Change StoreContact::noteFailure()
{
    if (isInTrouble()) {
        return Change::None;
    }
    m_failedAt = m_timers.now();
    return Change::Lost;
}

void StoreContact::noteReturn()
{
    m_workingTimeAtReturn = workingTime();
}

bool StoreContact::isInTrouble() const
{
    return m_failedAt != absl::InfiniteFuture();
}

bool StoreContact::isAway() const
{
    return isInTrouble() && m_timers.now() - m_failedAt >= m_minOutage;
}

absl::Time StoreContact::lastOwnAnswerAt() const
{
    return m_lastOwnAnswerAt;
}

absl::Duration StoreContact::workingTime() const
{
    return std::min(m_timers.now(), m_failedAt) - m_startedAt - m_awayTime;
}

absl::Duration StoreContact::workingTimeAtReturn() const
{
    return m_workingTimeAtReturn;
}

} // namespace snipeferry::gateway
