#include "snipeferry/core/timerservice.h"

#include <absl/time/clock.h>

#include <chrono>
#include <ctime>
#include <utility>

namespace snipeferry::core {

Subscription::Subscription(TimerService *service, std::uint64_t id)
    : m_service(service),
      m_id(id)
{
}

Subscription::~Subscription()
{
    cancel();
}

Subscription::Subscription(Subscription &&other) noexcept
    : m_service(std::exchange(other.m_service, nullptr)),
      m_id(other.m_id)
{
}

Subscription &Subscription::operator=(Subscription &&other) noexcept
{
    if (this != &other) {
        cancel();
        m_service = std::exchange(other.m_service, nullptr);
        m_id = other.m_id;
    }
    return *this;
}

void Subscription::cancel()
{
    if (m_service != nullptr) {
        m_service->remove(m_id);
        m_service = nullptr;
    }
}

Subscription TimerService::after(absl::Duration delay, Callback callback)
{
    return Subscription(this, add(delay, absl::ZeroDuration(), std::move(callback)));
}

Subscription TimerService::every(absl::Duration period, Callback callback)
{
    return Subscription(this, add(period, period, std::move(callback)));
}

std::uint64_t TimerService::add(absl::Duration delay, absl::Duration period, Callback callback)
{
    const std::uint64_t id = m_nextId++;
    const absl::Time due = now() + delay;
    m_timers.emplace(id, Timer{due, period, std::move(callback)});
    m_idsByDueTime.emplace(std::make_pair(due, id), id);
    return id;
}

void TimerService::remove(std::uint64_t id)
{
    const auto it = m_timers.find(id);
    if (it == m_timers.end()) {
        return;
    }
    m_idsByDueTime.erase({it->second.due, id});
    m_timers.erase(it);
}

void TimerService::runDue()
{
    const absl::Time limit = now();
    while (!m_idsByDueTime.empty() && m_idsByDueTime.begin()->first.first <= limit) {
        const std::uint64_t id = m_idsByDueTime.begin()->second;
        m_idsByDueTime.erase(m_idsByDueTime.begin());
        const auto it = m_timers.find(id);

        // The next due time of a periodic timer is counted from now, so that periods missed during a pause are skipped.
        const Callback callback = it->second.callback;
        if (it->second.period > absl::ZeroDuration()) {
            it->second.due = limit + it->second.period;
            m_idsByDueTime.emplace(std::make_pair(it->second.due, id), id);
        } else {
            m_timers.erase(it);
        }
        callback();
    }
}

absl::Time TimerService::earliestDue() const
{
    return m_idsByDueTime.empty() ? absl::InfiniteFuture() : m_idsByDueTime.begin()->first.first;
}

void TimerService::dropAll()
{
    // Destroying a callback may cancel other timers. The maps are emptied first, so that this finds nothing to remove.
    const std::map<std::uint64_t, Timer> dropped = std::exchange(m_timers, {});
    m_idsByDueTime.clear();
}

VirtualTimerService::VirtualTimerService(absl::Time start)
    : m_now(start)
{
}

absl::Time VirtualTimerService::now() const
{
    return m_now;
}

absl::Time VirtualTimerService::wallNow() const
{
    return m_now;
}

void VirtualTimerService::advance(absl::Duration step)
{
    const absl::Time target = m_now + step;
    while (earliestDue() <= target) {
        m_now = std::max(m_now, earliestDue());
        runDue();
    }
    m_now = target;
}

void VirtualTimerService::freeze(absl::Duration step)
{
    m_now += step;
}

absl::Time VirtualTimerService::nextDue() const
{
    return earliestDue();
}

absl::Time SteadyTimerService::now() const
{
    // CLOCK_BOOTTIME also counts the time while the machine is suspended. Leases and key freshness must expire during a suspend too.
    timespec time{};
    if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        return absl::UnixEpoch() + absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
    }
    return absl::TimeFromTimespec(time);
}

absl::Time SteadyTimerService::wallNow() const
{
    return absl::Now();
}

void SteadyTimerService::clear()
{
    dropAll();
}

void SteadyTimerService::run()
{
    runDue();
}

absl::Time SteadyTimerService::nextDue() const
{
    return earliestDue();
}

} // namespace snipeferry::core
