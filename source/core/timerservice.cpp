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
    m_order.emplace(std::make_pair(due, id), id);
    return id;
}

void TimerService::remove(std::uint64_t id)
{
    const auto it = m_timers.find(id);
    if (it == m_timers.end()) {
        return;
    }
    m_order.erase({it->second.due, id});
    m_timers.erase(it);
}

void TimerService::runDue()
{
    const absl::Time limit = now();
    while (!m_order.empty() && m_order.begin()->first.first <= limit) {
        const std::uint64_t id = m_order.begin()->second;
        m_order.erase(m_order.begin());
        const auto it = m_timers.find(id);

        // A periodic timer is due again after now: periods missed during a pause are not made up for.
        const Callback callback = it->second.callback;
        if (it->second.period > absl::ZeroDuration()) {
            it->second.due = limit + it->second.period;
            m_order.emplace(std::make_pair(it->second.due, id), id);
        } else {
            m_timers.erase(it);
        }
        callback();
    }
}

absl::Time TimerService::earliestDue() const
{
    return m_order.empty() ? absl::InfiniteFuture() : m_order.begin()->first.first;
}

void TimerService::dropAll()
{
    // Ends of callbacks may cancel further timers; they find the maps empty.
    const std::map<std::uint64_t, Timer> dropped = std::exchange(m_timers, {});
    m_order.clear();
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
    // Boot time goes on while the machine is suspended; ages that promise something (leases, key freshness) must not stand still.
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
