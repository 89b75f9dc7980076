#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/messages/event.h"
#include "snipeferry/net/eventloop.h"
#include "snipeferry/supervision/actionsinks.h"
#include "snipeferry/supervision/decisioncore.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace snipeferry::supervision {

struct CoreLoopSettings
{
    /** Requests are refused while more events than this wait. */
    std::size_t maxWaitingForRequests = 4096;
};

/** The decision parts failed. */
struct CoreFailed
{
    std::string reason;
};

/**
 * Drives the decision parts on the event loop: events in order, timers, and the actions that follow.
 *
 * An event is never handled from within the call that posts it, so actions may post events.
 */
class CoreLoop
{
public:
    using CoreFactory = std::function<std::unique_ptr<DecisionCore>(core::TimerService &timers)>;

    CoreLoop(net::EventLoop &loop, CoreLoopSettings settings, CoreFactory factory, ActionSinks &sinks);
    ~CoreLoop();
    CoreLoop(const CoreLoop &) = delete;
    CoreLoop &operator=(const CoreLoop &) = delete;

    /** @brief Makes the decision parts; events that were posted before are handled then. */
    void start();
    void stop();

    /** @brief Adds an event. */
    void post(messages::Event event);

    /** @brief Adds a request; false when too much waits already, or the loop does not run. */
    bool tryPost(messages::Event event);

    /**
     * @brief Asks the decision parts.
     * @return the answer, or nothing when they do not run
     */
    template<typename Result>
    std::optional<Result> query(const std::function<Result(DecisionCore &)> &question)
    {
        if (m_core == nullptr) {
            return std::nullopt;
        }
        std::optional<Result> result;
        guarded([&] { result = question(*m_core); });
        schedule();
        return result;
    }

    /** @brief Configuration in force, or nullptr. */
    std::shared_ptr<const configuration::Configuration> configuration() const;

    /** @brief The decision parts run and the instance serves callers. */
    bool isReady() const;
    bool isDrained() const;

    /** @brief The decision parts failed and are gone. */
    bool hasFailed() const;

    /** @brief Events are still taken: neither stopped nor failed. */
    bool isRunning() const;

    /** @brief Events that wait. */
    std::size_t waiting() const;

    core::Signal<CoreFailed> &failed();

private:
    void schedule();
    void handleWaiting();
    void runTimers();
    void carryOut(const std::vector<messages::Action> &actions);
    void guarded(const std::function<void()> &step);

    net::EventLoop &m_loop;
    const CoreLoopSettings m_settings;
    const CoreFactory m_factory;
    ActionSinks &m_sinks;
    core::SteadyTimerService m_timers;
    std::unique_ptr<DecisionCore> m_core;
    std::deque<messages::Event> m_events;
    core::Signal<CoreFailed> m_failed;
    core::Subscription m_wake;
    /** Events are taken from construction on, so that adapters may start first. */
    bool m_isRunning = true;
    bool m_isScheduled = false;
    bool m_hasFailed = false;
    /** Ends with this object; what was posted to the event loop finds it gone. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace snipeferry::supervision
