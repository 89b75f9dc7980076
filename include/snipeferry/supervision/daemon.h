#pragma once

#include "snipeferry/net/eventloop.h"
#include "snipeferry/supervision/instance.h"

#include <boost/asio/signal_set.hpp>

namespace snipeferry::supervision {

/** One instance as a process: runs the event loop and obeys signals until the instance has left or failed. */
class Daemon
{
public:
    explicit Daemon(settings::DaemonSettings settings);
    ~Daemon();

    /** @brief Runs to the end. @return the exit code of the process, or why it could not start */
    core::Expected<int> run();

private:
    void awaitSignal();
    void check();
    void finish(int code);

    const absl::Duration m_drainTimeout;
    net::EventLoop m_loop;
    Instance m_instance;
    boost::asio::signal_set m_signals;
    core::Subscription m_checkTimer;
    absl::Time m_drainDeadline = absl::InfiniteFuture();
    /** The last answers get until then. */
    absl::Time m_endDeadline = absl::InfiniteFuture();
    bool m_isEnding = false;
    int m_code = 0;
};

} // namespace snipeferry::supervision
