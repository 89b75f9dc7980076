#include "snipeferry/supervision/supervisor.h"

#include <algorithm>
#include <exception>

namespace snipeferry::supervision {

namespace {

core::Expected<void> startSafely(const Child &child)
{
    try {
        return child.start();
    } catch (const std::exception &exception) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::Internal, exception.what()));
    }
}

} // namespace

Supervisor::Supervisor(core::TimerService &timers, SupervisorSettings settings, LogSink log)
    : m_timers(timers),
      m_settings(settings),
      m_log(std::move(log))
{
}

Supervisor::~Supervisor()
{
    stop();
}

void Supervisor::add(Child child)
{
    m_states.push_back({std::move(child), false, m_settings.firstBackoff, absl::InfinitePast(), absl::InfinitePast()});
}

core::Expected<void> Supervisor::start()
{
    for (State &state : m_states) {
        core::Expected<void> started = startSafely(state.child);
        if (!started.has_value()) {
            logChild("part_failed", state, started.error().message);
            stop();
            return started;
        }
        state.isUp = true;
        state.startedAt = m_timers.now();
        logChild("part_started", state, "");
    }
    m_isHealthy = true;
    m_checkTimer = m_timers.every(m_settings.checkInterval, [this] { checkAll(); });
    return {};
}

void Supervisor::stop()
{
    m_checkTimer.cancel();
    m_isHealthy = false;
    for (auto it = m_states.rbegin(); it != m_states.rend(); ++it) {
        if (it->isUp) {
            it->child.stop();
            it->isUp = false;
            logChild("part_stopped", *it, "");
        }
    }
}

bool Supervisor::isHealthy() const
{
    return m_isHealthy;
}

bool Supervisor::hasFailed() const
{
    return m_hasFailed;
}

void Supervisor::checkAll()
{
    for (State &state : m_states) {
        check(state);
    }
    m_isHealthy = !m_hasFailed && std::all_of(m_states.begin(), m_states.end(), [](const State &state) { return state.isUp; });
}

void Supervisor::check(State &state)
{
    if (!state.isUp) {
        if (m_timers.now() >= state.retryAt && !m_hasFailed) {
            restart(state);
        }
        return;
    }
    if (state.child.isRunning()) {
        return;
    }
    logChild("part_failed", state, "not running");
    m_isHealthy = false;
    if (m_timers.now() - state.startedAt > m_settings.stableAfter) {
        state.backoff = m_settings.firstBackoff;
    }
    state.child.stop();
    state.isUp = false;
    state.retryAt = m_timers.now() + state.backoff;
    m_hasFailed = m_hasFailed || state.child.isEssential;
}

void Supervisor::restart(State &state)
{
    const core::Expected<void> started = startSafely(state.child);
    state.backoff = std::min(2 * state.backoff, m_settings.maxBackoff);
    if (!started.has_value()) {
        logChild("part_failed", state, started.error().message);
        state.retryAt = m_timers.now() + state.backoff;
        return;
    }
    state.isUp = true;
    state.startedAt = m_timers.now();
    logChild("part_restarted", state, "");
}

void Supervisor::logChild(const char *event, const State &state, const std::string &reason) const
{
    core::LogEvent line{event, {}};
    line.with("part", state.child.name);
    if (!reason.empty()) {
        line.with("reason", reason);
    }
    m_log(line);
}

} // namespace snipeferry::supervision
