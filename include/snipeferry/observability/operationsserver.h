#pragma once

#include "snipeferry/http/callerserver.h"
#include "snipeferry/observability/decisionjournal.h"
#include "snipeferry/supervision/coreloop.h"

#include <functional>
#include <memory>
#include <string>

namespace snipeferry::observability {

/** What the operations port needs of the process. */
struct OperationsSettings
{
    std::string listenAddress;
    /** All parts are running. */
    std::function<bool()> isHealthy;
    /** Starts a drain, as a termination signal does. */
    std::function<void()> drain;
};

/** Serves operators: /live, /ready, /status, /explain?request=ID, and POST /drain. */
class OperationsServer
{
public:
    OperationsServer(net::EventLoop &loop, OperationsSettings settings, supervision::CoreLoop &core, const DecisionJournal &journal);
    ~OperationsServer();

    core::Expected<std::string> start();
    void stop();
    bool isRunning() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::observability
