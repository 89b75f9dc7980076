#pragma once

#include "snipeferry/net/backendpool.h"
#include "snipeferry/net/directorycodec.h"
#include "snipeferry/net/dutyformat.h"
#include "snipeferry/net/gatewaysettings.h"
#include "snipeferry/net/httpserver.h"
#include "snipeferry/net/peerlinks.h"
#include "snipeferry/net/stdoutjournal.h"
#include "snipeferry/net/storeclient.h"

#include <boost/asio/signal_set.hpp>

#include <memory>
#include <string>

namespace snipeferry::net {

/** How one deployment's callers, backend servers, records and store speak. */
struct Adapter
{
    const gateway::HeaderCodec &headers;
    const gateway::RecordCodec &records;
    const StoreFormat &store;
    const DirectoryCodec &directory;
    const DutyFormat &duties;
};

class DutyClient;

/** One gateway process: supervises the transport and the decision parts from start to stop. */
class GatewayProcess
{
public:
    GatewayProcess(GatewayProcessSettings settings, std::string settingsFile, Adapter adapter);
    ~GatewayProcess();

    /** @brief Listens and runs until it is told to stop. @return the error that prevented the start */
    core::Expected<void> run();

private:
    /** Listens on all addresses that callers and instances need. */
    core::Expected<void> listen();
    /** Listens on the address of the metrics page, now or later. */
    void listenForMetrics();
    /** Begins as soon as all needed addresses can be listened on; gives up after a time. */
    void start();
    void begin();
    void awaitSignals();
    /** Logs it if the event loop is behind, so that requests and ends of connections are handled late. */
    void checkLoopDelay();
    void reload();
    void startStop();
    void checkStopped();
    void answerCaller(gateway::HttpRequest request, const std::shared_ptr<HttpExchange> &exchange);
    void answerReadiness(const gateway::HttpRequest &request, HttpExchange &exchange) const;
    void answerDirectory(const gateway::HttpRequest &request, HttpExchange &exchange) const;

    GatewayProcessSettings m_settings;
    std::string m_settingsFile;
    Adapter m_adapter;
    EventLoop m_loop;
    StdoutJournal m_journal;
    std::shared_ptr<ReadMemory> m_readMemory;
    BackendPool m_pool;
    std::unique_ptr<PeerLinks> m_links;
    std::unique_ptr<gateway::Gateway> m_gateway;
    std::unique_ptr<StoreClient> m_store;
    /** Null if the settings have no duties that the platform knows. */
    std::shared_ptr<DutyClient> m_duties;
    HttpServer m_callers;
    HttpServer m_directory;
    HttpServer m_readiness;
    HttpServer m_metrics;
    boost::asio::signal_set m_signals;
    core::Expected<void> m_startResult;
    bool m_hasBegun = false;
    absl::Time m_listenUntil = absl::InfiniteFuture();
    core::Subscription m_listenTimer;
    core::Subscription m_metricsTimer;
    absl::Time m_stopAt = absl::InfiniteFuture();
    absl::Time m_stopEarliest = absl::InfiniteFuture();
    core::Subscription m_stopTimer;
    absl::Time m_loopCheckDue = absl::InfiniteFuture();
    core::Subscription m_loopCheckTimer;
};

} // namespace snipeferry::net
