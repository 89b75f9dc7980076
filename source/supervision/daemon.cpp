#include "snipeferry/supervision/daemon.h"

#include <csignal>
#include <cstdlib>

namespace snipeferry::supervision {

namespace {

constexpr absl::Duration CHECK_PERIOD = absl::Milliseconds(100);
/** Time for answers of requests that are ended by the stop. */
constexpr absl::Duration END_TIME = absl::Seconds(1);

} // namespace

Daemon::Daemon(settings::DaemonSettings settings)
    : m_drainTimeout(settings.drainTimeout),
      m_instance(m_loop, std::move(settings)),
      m_signals(m_loop.context(), SIGTERM, SIGINT, SIGHUP)
{
}

Daemon::~Daemon() = default;

core::Expected<int> Daemon::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    const core::Expected<void> started = m_instance.start();
    if (!started.has_value()) {
        return tl::make_unexpected(started.error());
    }
    awaitSignal();
    m_checkTimer = m_loop.timers().every(CHECK_PERIOD, [this] { check(); });
    m_loop.run();
    m_instance.stop();
    return m_code;
}

void Daemon::awaitSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            m_instance.reloadPeerKeys();
        } else {
            m_instance.drain();
        }
        awaitSignal();
    });
}

void Daemon::check()
{
    const absl::Time now = m_loop.timers().now();
    if (m_isEnding) {
        if (!m_instance.hasUnsentAnswers() || now > m_endDeadline) {
            m_loop.stop();
        }
        return;
    }
    if (m_instance.isDraining() && m_drainDeadline == absl::InfiniteFuture()) {
        m_drainDeadline = now + m_drainTimeout;
    }
    if (m_instance.hasFailed()) {
        m_instance.log(core::LogEvent{"instance_failed", {}}.with("reason", "an essential part has failed"));
        finish(EXIT_FAILURE);
    } else if (m_instance.isDraining() && m_instance.isDrained()) {
        m_instance.log(core::LogEvent{"instance_drained", {}});
        finish(EXIT_SUCCESS);
    } else if (now > m_drainDeadline) {
        m_instance.log(core::LogEvent{"drain_failed", {}}.with("reason", "requests were open at the drain timeout"));
        finish(EXIT_FAILURE);
    }
}

void Daemon::finish(int code)
{
    m_code = code;
    m_isEnding = true;
    m_endDeadline = m_loop.timers().now() + END_TIME;
    m_instance.endRequests();
}

} // namespace snipeferry::supervision
