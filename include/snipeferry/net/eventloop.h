#pragma once

#include "snipeferry/core/timerservice.h"

#include <boost/asio/io_context.hpp>

#include <functional>

/**
 * The transport of the gateway: everything runs on one thread and one io_context.
 */
namespace snipeferry::net {

/** Runs sockets and timers of one process on the calling thread. */
class EventLoop
{
public:
    EventLoop() = default;
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    boost::asio::io_context &context();
    core::TimerService &timers();
    const core::TimerService &timers() const;

    /** @brief Calls a function from run(); the one member that any thread may call. */
    void post(std::function<void()> action);

    /** @brief Runs until stop(). */
    void run();
    void stop();

    /** @brief Lets run() work again after stop(). */
    void resume();

private:
    // Handlers that end with the context still cancel timers, so the timers outlive it.
    core::SteadyTimerService m_timers;
    boost::asio::io_context m_context{1};
    bool m_isStopped = false;
};

} // namespace snipeferry::net
