#pragma once

#include "snipeferry/http/callerserver.h"
#include "snipeferry/observability/decisionjournal.h"
#include "snipeferry/supervision/coreloop.h"

#include <functional>
#include <memory>
#include <string>

namespace snipeferry::observability {

/** Listen address and callbacks of the operations server. */
struct OperationsSettings
{
    std::string listenAddress;
    /** Returns whether all supervised parts of the process are running. If not, /ready answers 503. */
    std::function<bool()> isHealthy;
    /** Starts a drain, as a termination signal does. Called for POST /drain. */
    std::function<void()> drain;
};

/** HTTP server for operators: GET /live, /ready, /status and /explain?request=ID, and POST /drain. */
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
