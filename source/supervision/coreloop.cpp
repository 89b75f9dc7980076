#include "snipeferry/supervision/coreloop.h"

#include <exception>
#include <utility>

namespace snipeferry::supervision {

CoreLoop::CoreLoop(net::EventLoop &loop, CoreLoopSettings settings, CoreFactory factory, ActionSinks &sinks)
    : m_loop(loop),
      m_settings(settings),
      m_factory(std::move(factory)),
      m_sinks(sinks)
{
}

CoreLoop::~CoreLoop()
{
    stop();
    *m_isAlive = false;
}

void CoreLoop::start()
{
    guarded([this] { m_core = m_factory(m_timers); });
    schedule();
}

void CoreLoop::stop()
{
    m_isRunning = false;
    m_wake.cancel();
    m_events.clear();
    m_core.reset();
    m_timers.clear();
}

void CoreLoop::post(messages::Event event)
{
    if (m_isRunning) {
        m_events.push_back(std::move(event));
        schedule();
    }
}

bool CoreLoop::tryPost(messages::Event event)
{
    if (!m_isRunning || m_events.size() >= m_settings.maxWaitingForRequests) {
        return false;
    }
    post(std::move(event));
    return true;
}

std::shared_ptr<const configuration::Configuration> CoreLoop::configuration() const
{
    return m_core == nullptr ? nullptr : m_core->configuration();
}

bool CoreLoop::isReady() const
{
    return m_core != nullptr && m_core->isReady();
}

bool CoreLoop::isDrained() const
{
    return m_core != nullptr && m_core->isDrained();
}

bool CoreLoop::hasFailed() const
{
    return m_hasFailed;
}

bool CoreLoop::isRunning() const
{
    return m_isRunning;
}

std::size_t CoreLoop::waiting() const
{
    return m_events.size();
}

core::Signal<CoreFailed> &CoreLoop::failed()
{
    return m_failed;
}

void CoreLoop::schedule()
{
    if (m_isScheduled || m_core == nullptr) {
        return;
    }
    m_isScheduled = true;
    m_loop.post([this, isAlive = m_isAlive] {
        if (*isAlive) {
            m_isScheduled = false;
            handleWaiting();
        }
    });
}

void CoreLoop::handleWaiting()
{
    if (m_core == nullptr) {
        return;
    }
    guarded([this] {
        // Timers run between events, so that a long batch does not delay them. What actions add is handled in the next turn.
        for (std::size_t left = m_events.size(); left > 0 && !m_events.empty(); --left) {
            runTimers();
            const messages::Event event = std::move(m_events.front());
            m_events.pop_front();
            carryOut(m_core->handle(event));
        }
        runTimers();
        carryOut(m_core->takeActions());
    });
    if (m_core == nullptr) {
        return;
    }
    if (!m_events.empty()) {
        schedule();
    }
    const absl::Time next = m_timers.nextDue();
    if (next != absl::InfiniteFuture()) {
        m_wake = m_loop.timers().after(std::max(next - m_timers.now(), absl::ZeroDuration()), [this] { handleWaiting(); });
    }
}

void CoreLoop::runTimers()
{
    if (m_timers.nextDue() <= m_timers.now()) {
        m_timers.run();
        carryOut(m_core->takeActions());
    }
}

void CoreLoop::carryOut(const std::vector<messages::Action> &actions)
{
    for (const messages::Action &action : actions) {
        std::visit([this](const auto &typed) { m_sinks.carryOut(typed); }, action);
    }
}

void CoreLoop::guarded(const std::function<void()> &step)
{
    try {
        step();
    } catch (const std::exception &exception) {
        // The state of the decision parts is no longer certain: nothing more is decided from it.
        m_hasFailed = true;
        stop();
        m_sinks.carryOut(messages::Log{core::LogEvent{"core_failed", {}}.with("reason", exception.what())});
        m_failed.emit(CoreFailed{exception.what()});
    }
}

} // namespace snipeferry::supervision
