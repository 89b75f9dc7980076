#pragma once

#include "snipeferry/gateway/ports.h"
#include "snipeferry/net/eventloop.h"
#include "snipeferry/net/readmemory.h"

#include <functional>
#include <memory>

namespace snipeferry::net {

struct BackendPoolSettings
{
    /** Time for a new connection. Backend servers stand in the same region; a connection takes milliseconds. */
    absl::Duration connectTimeout = absl::Milliseconds(600);
    /** Unacknowledged bytes or probes after which a connection counts as lost. */
    absl::Duration lossTimeout = absl::Seconds(2);
    /** Longest idle time of a connection that is used again. */
    absl::Duration maxIdle = absl::Seconds(4);
    /** Longest idle time of a connection that takes a request which must not be repeated. */
    absl::Duration maxIdleUnrepeatable = absl::Seconds(1);
    int maxConnectionsPerServer = 100;
    /** Shared by all connections of the process; null: no bound. */
    std::shared_ptr<ReadMemory> readMemory;
    /** Without it each run has a connection of its own, which is closed behind its answer. */
    bool reusesConnections = true;
    /** Whether each answer names its request. On a connection that served another request before, an answer that names none is then no answer. */
    bool doAnswersNameRequests = false;
};

/** Connections to backend servers; each serves one run at a time. */
class BackendPool : public gateway::RunTransport
{
public:
    /** Names the request that an answer's head belongs to; empty if it does not say. */
    using AnsweredRequest = std::function<core::RequestId(const gateway::HttpHead &)>;

    BackendPool(EventLoop &loop, BackendPoolSettings settings, AnsweredRequest answeredRequest);
    ~BackendPool() override;

    /** @brief Sets who takes the events of runs; must be called before the first run. */
    void setEvents(gateway::RunEvents &events);

    void start(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request, const core::RequestId &id,
        bool mayReuseConnection, absl::Time sendBy) override;
    void cancel(gateway::Number run) override;
    void setPaused(gateway::Number run, bool isPaused) override;
    void checkPath(gateway::Number run, const gateway::BackendServer &server) override;
    void askState(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request) override;

    /** @brief Connections opened since the start. */
    std::uint64_t openedCount() const;

    class Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace snipeferry::net
