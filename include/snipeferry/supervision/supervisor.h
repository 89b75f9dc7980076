#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/logevent.h"
#include "snipeferry/core/timerservice.h"

#include <absl/time/time.h>

#include <functional>
#include <string>
#include <vector>

namespace snipeferry::supervision {

/** One supervised part of the process. */
struct Child
{
    std::string name;
    std::function<core::Expected<void>()> start;
    std::function<void()> stop;
    /** Asked regularly; a part that is not running is stopped and started again. */
    std::function<bool()> isRunning;
    /** A part whose state cannot be rebuilt here: its failure ends the process, after a log line. */
    bool isEssential = false;
};

struct SupervisorSettings
{
    absl::Duration checkInterval = absl::Milliseconds(200);
    absl::Duration firstBackoff = absl::Milliseconds(100);
    absl::Duration maxBackoff = absl::Seconds(30);
    /** A part that ran this long starts with the first backoff again. */
    absl::Duration stableAfter = absl::Seconds(60);
};

/**
 * Starts parts in order, stops them in reverse order, and restarts a failed part with exponential backoff.
 *
 * A failure is always logged; while any part is down the instance is not ready.
 */
class Supervisor
{
public:
    using LogSink = std::function<void(const core::LogEvent &)>;

    Supervisor(core::TimerService &timers, SupervisorSettings settings, LogSink log);
    ~Supervisor();
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    /** @brief Adds a part; only before start(). */
    void add(Child child);

    /** @brief Starts all parts; the first failure stops those already started. */
    core::Expected<void> start();
    void stop();

    /** @brief All parts are running. */
    bool isHealthy() const;

    /** @brief An essential part has failed; the process should end. */
    bool hasFailed() const;

private:
    struct State
    {
        Child child;
        bool isUp = false;
        absl::Duration backoff;
        absl::Time startedAt;
        absl::Time retryAt;
    };

    void checkAll();
    void check(State &state);
    void restart(State &state);
    void logChild(const char *event, const State &state, const std::string &reason) const;

    core::TimerService &m_timers;
    const SupervisorSettings m_settings;
    const LogSink m_log;
    std::vector<State> m_states;
    core::Subscription m_checkTimer;
    bool m_isHealthy = false;
    bool m_hasFailed = false;
};

} // namespace snipeferry::supervision
