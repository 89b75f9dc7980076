#include "snipeferry/net/eventloop.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace snipeferry::net {

namespace {

/** Longest sleep; a stopped loop is noticed by the event that stopped it. */
constexpr absl::Duration LONGEST_WAIT = absl::Seconds(1);
/** Events handled before timers are looked at again. On a small share of a core one event may take tens of milliseconds. */
constexpr int EVENTS_BETWEEN_TIMERS = 8;

} // namespace

EventLoop::~EventLoop()
{
    // Callbacks of timers hold sockets, which must end before the context.
    m_timers.clear();
}

boost::asio::io_context &EventLoop::context()
{
    return m_context;
}

core::TimerService &EventLoop::timers()
{
    return m_timers;
}

const core::TimerService &EventLoop::timers() const
{
    return m_timers;
}

void EventLoop::post(std::function<void()> action)
{
    boost::asio::post(m_context, std::move(action));
}

void EventLoop::run()
{
    while (!m_isStopped) {
        m_timers.run();
        if (m_isStopped) {
            return;
        }
        const absl::Duration wait = std::clamp(m_timers.nextDue() - m_timers.now(), absl::ZeroDuration(), LONGEST_WAIT);
        m_context.restart();
        m_context.run_one_for(absl::ToChronoNanoseconds(wait));
        for (int handled = 0; handled < EVENTS_BETWEEN_TIMERS && m_context.poll_one() > 0; ++handled) { }
    }
}

void EventLoop::resume()
{
    m_isStopped = false;
}

void EventLoop::stop()
{
    m_isStopped = true;
}

} // namespace snipeferry::net
