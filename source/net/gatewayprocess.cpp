#include "snipeferry/net/gatewayprocess.h"

#include "dutyclient.h"
#include "snipeferry/net/processname.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <unistd.h>

#include <csignal>

namespace snipeferry::net {

namespace {

/** Callers keep a directory answer for some seconds; until then they still come. */
constexpr absl::Duration SHORTEST_STOP = absl::Milliseconds(2500);
/** Part of the grace time that is left to the supervisor. */
constexpr absl::Duration STOP_MARGIN = absl::Milliseconds(300);
/** Time for the requests of connections that were open when the process stopped listening. */
constexpr absl::Duration LAST_CONNECTIONS_TIME = absl::Milliseconds(100);
constexpr absl::Duration STOP_CHECK_PERIOD = absl::Milliseconds(50);
/** Interval at which the delay of the event loop is measured, and the delay from which it is logged. */
constexpr absl::Duration LOOP_CHECK_PERIOD = absl::Milliseconds(250);
constexpr absl::Duration LOGGED_LOOP_DELAY = absl::Milliseconds(250);
/** Interval at which an address that callers or instances need is tried again, and for how long: a process before may not have given it up yet. */
constexpr absl::Duration LISTEN_RETRY_PERIOD = absl::Milliseconds(100);
constexpr absl::Duration LISTEN_TIME_LIMIT = absl::Seconds(5);
/** Interval at which the address of the metrics page is tried again. */
constexpr absl::Duration METRICS_RETRY_PERIOD = absl::Seconds(5);
constexpr double BYTES_PER_MB = 1e6;
/** Fraction of the memory that the bodies of open requests may use. */
constexpr double REQUEST_BODIES_FRACTION = 0.25;
/** Fraction of the memory for unfinished heads, heads of chunks and trailers on all connections. */
constexpr double READ_MEMORY_FRACTION = 1.0 / 16;
constexpr int HTTP_OK = 200;
constexpr int HTTP_NOT_FOUND = 404;
constexpr int HTTP_UNAVAILABLE = 503;

/** Passes the answers of the decision parts to a caller's connection. */
class CallerSink : public gateway::AnswerSink
{
public:
    CallerSink(std::shared_ptr<HttpExchange> exchange, const gateway::HeaderCodec &headers, core::RequestId request)
        : m_exchange(std::move(exchange)),
          m_headers(headers),
          m_request(std::move(request))
    {
    }

    void answer(const gateway::HttpHead &head, std::string body) override
    {
        m_exchange->answer(head, body);
    }

    void begin(const gateway::HttpHead &head) override
    {
        m_exchange->begin(head);
    }

    void data(std::string data) override
    {
        m_exchange->data(data);
    }

    void finish() override
    {
        m_exchange->finish();
    }

    void breakOff() override
    {
        m_exchange->breakOff();
    }

    void refuse(const core::Error &error) override
    {
        m_exchange->answer({core::errorAnswer(error.kind).httpStatus, m_headers.answerHeaders(m_request, error)}, error.message + "\n");
    }

    std::size_t unsentBytes() const override
    {
        return m_exchange->unsentBytes();
    }

    bool isCallerGone() const override
    {
        return m_exchange->isClientGone();
    }

private:
    std::shared_ptr<HttpExchange> m_exchange;
    const gateway::HeaderCodec &m_headers;
    core::RequestId m_request;
};

BackendPoolSettings withReadMemory(BackendPoolSettings settings, const std::shared_ptr<ReadMemory> &readMemory)
{
    settings.readMemory = readMemory;
    return settings;
}

/** For each kind of server: what is read of a message that is not complete counts for all connections together. */
HttpServerSettings serverSettings(const std::shared_ptr<ReadMemory> &readMemory)
{
    HttpServerSettings settings;
    settings.readMemory = readMemory;
    return settings;
}

HttpServerSettings callerServerSettings(const MachineSettings &machine, const std::shared_ptr<ReadMemory> &readMemory)
{
    HttpServerSettings settings = serverSettings(readMemory);
    settings.maxBufferedBytes = static_cast<std::size_t>(machine.memoryMb * BYTES_PER_MB * REQUEST_BODIES_FRACTION);
    return settings;
}

} // namespace

GatewayProcess::GatewayProcess(GatewayProcessSettings settings, std::string settingsFile, Adapter adapter)
    : m_settings(std::move(settings)),
      m_settingsFile(std::move(settingsFile)),
      m_adapter(adapter),
      m_journal(m_loop, m_settings.journal, STDOUT_FILENO),
      m_readMemory(std::make_shared<ReadMemory>(static_cast<std::size_t>(m_settings.machine.memoryMb * BYTES_PER_MB * READ_MEMORY_FRACTION))),
      m_pool(m_loop, withReadMemory(m_settings.backends, m_readMemory),
          [this](const gateway::HttpHead &head) { return m_adapter.headers.decodeAnswer(head).request; }),
      m_callers(
          m_loop, [this](gateway::HttpRequest request, const std::shared_ptr<HttpExchange> &exchange) { answerCaller(std::move(request), exchange); },
          callerServerSettings(m_settings.machine, m_readMemory)),
      m_directory(
          m_loop, [this](const gateway::HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { answerDirectory(request, *exchange); },
          serverSettings(m_readMemory)),
      m_readiness(
          m_loop, [this](const gateway::HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { answerReadiness(request, *exchange); },
          serverSettings(m_readMemory)),
      m_metrics(
          m_loop,
          [this](const gateway::HttpRequest & /*request*/, const std::shared_ptr<HttpExchange> &exchange) {
              exchange->answer({HTTP_OK, {{"Content-Type", "text/plain; version=0.0.4"}}}, m_journal.metricsPage(m_gateway->readings()));
          },
          serverSettings(m_readMemory)),
      m_signals(m_loop.context(), SIGTERM, SIGINT, SIGHUP)
{
    nameProcess(m_settings.gateway, m_loop.timers().wallNow());
    const gateway::Member &self = m_settings.gateway.self;
    LinkEvents events;
    events.up = [this](const gateway::Member &peer) {
        m_gateway->linkUp(peer);
    };
    events.down = [this](const core::InstanceId &peer) {
        m_gateway->linkDown(peer);
    };
    events.received = [this](const core::InstanceId &from, const gateway::FleetMessage &message) {
        m_gateway->received(from, message);
    };
    m_links = std::make_unique<PeerLinks>(m_loop, self, std::move(events), m_journal);
    duties::DutySettings &duties = m_settings.gateway.duties;
    if (!m_adapter.duties.reportsUsage(duties.duties)) {
        if (!duties.duties.empty()) {
            m_journal.log(core::LogEvent{"duties_unknown", {}}.with("duties", absl::StrJoin(duties.duties, ",")));
        }
        duties.duties.clear();
    }
    m_gateway = std::make_unique<gateway::Gateway>(
        m_settings.gateway, gateway::GatewayPorts{m_loop.timers(), m_adapter.headers, m_adapter.records, m_pool, *m_links, m_journal});
    m_pool.setEvents(*m_gateway);
    m_gateway->membersChanged().subscribe([this](const gateway::MembersChanged &change) { m_links->keep(change.members); });
    m_gateway->limitsChanged().subscribe([this](const gateway::LimitsChanged &change) { m_callers.setLimits(change.limits); });
    m_settings.store.readMemory = m_readMemory;
    m_store = std::make_unique<StoreClient>(m_loop, m_settings.store, m_adapter.store, m_adapter.records, *m_gateway, m_journal);
    if (!duties.duties.empty()) {
        m_duties = std::make_shared<DutyClient>(m_loop, m_settings.store, duties, m_adapter.store, m_adapter.duties, m_store->era(), *m_gateway, m_journal);
    }
}

GatewayProcess::~GatewayProcess() = default;

core::Expected<void> GatewayProcess::listen()
{
    const std::pair<HttpServer *, const std::string *> servers[]
        = {{&m_callers, &m_settings.gateway.self.callerAddress}, {&m_directory, &m_settings.directoryAddress}, {&m_readiness, &m_settings.readinessAddress}};
    for (const std::pair<HttpServer *, const std::string *> &server : servers) {
        if (server.second->empty() || server.first->isListening()) {
            continue;
        }
        const core::Expected<int> port = server.first->listen(*server.second);
        if (!port) {
            return tl::make_unexpected(port.error());
        }
    }
    return m_links->start();
}

void GatewayProcess::listenForMetrics()
{
    if (m_settings.metricsAddress.empty()) {
        return;
    }
    // Another process of the machine may have the address. The page is no reason not to serve callers.
    const core::Expected<int> port = m_metrics.listen(m_settings.metricsAddress);
    if (!port) {
        m_journal.log(core::LogEvent{"listen_failed", {}}.with("address", m_settings.metricsAddress).with("error", port.error().message));
        m_metricsTimer = m_loop.timers().after(METRICS_RETRY_PERIOD, [this] { listenForMetrics(); });
    }
}

void GatewayProcess::start()
{
    const core::Expected<void> listening = listen();
    if (listening) {
        listenForMetrics();
        begin();
        return;
    }
    if (m_loop.timers().now() >= m_listenUntil) {
        m_startResult = listening;
        m_loop.stop();
        return;
    }
    m_journal.log(core::LogEvent{"listen_failed", {}}.with("error", listening.error().message));
    m_listenTimer = m_loop.timers().after(LISTEN_RETRY_PERIOD, [this] { start(); });
}

core::Expected<void> GatewayProcess::run()
{
    awaitSignals();
    m_listenUntil = m_loop.timers().now() + LISTEN_TIME_LIMIT;
    start();
    m_loop.run();
    m_journal.flush();
    return m_startResult;
}

void GatewayProcess::begin()
{
    m_hasBegun = true;
    const gateway::Member &self = m_settings.gateway.self;
    m_journal.log(core::LogEvent{
        "started", {}}.with("instance", self.id.value())
                      .with("incarnation", absl::StrCat(self.incarnation))
                      .with("boot", absl::StrCat(absl::Hex(self.bootId)))
                      .with("data_centre", self.dataCentre.value())
                      .with("callers", self.callerAddress)
                      .with("peers", self.peerAddress)
                      .with("store", m_settings.store.address)
                      .with("key_withdrawal_ms", absl::StrCat(absl::ToInt64Milliseconds(m_settings.gateway.flow.keyWithdrawalTime))));
    gateway::Record announcement;
    announcement.key = m_adapter.records.memberKey(self.id);
    announcement.value = m_adapter.records.encodeMember(self);
    m_store->start(announcement);
    if (m_duties != nullptr) {
        m_duties->start(self);
    }
    m_loopCheckDue = m_loop.timers().now() + LOOP_CHECK_PERIOD;
    m_loopCheckTimer = m_loop.timers().every(LOOP_CHECK_PERIOD, [this] { checkLoopDelay(); });
}

void GatewayProcess::checkLoopDelay()
{
    const absl::Time now = m_loop.timers().now();
    const absl::Duration delay = now - m_loopCheckDue;
    m_loopCheckDue = now + LOOP_CHECK_PERIOD;
    if (delay >= LOGGED_LOOP_DELAY) {
        m_journal.log(core::LogEvent{"event_loop_late", {}}
                          .with("late_ms", absl::StrCat(absl::ToInt64Milliseconds(delay)))
                          .with("open_requests", absl::StrCat(m_gateway->openCount()))
                          .with("connections", absl::StrCat(m_callers.connectionCount())));
    }
}

void GatewayProcess::awaitSignals()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else {
            startStop();
        }
        awaitSignals();
    });
}

void GatewayProcess::reload()
{
    const core::Expected<GatewayProcessSettings> fresh = loadGatewaySettings(m_settingsFile);
    if (!fresh) {
        m_journal.log(core::LogEvent{"reload_refused", {}}.with("error", fresh.error().message));
        return;
    }
    const SettingsChange change = applyReload(m_settings, *fresh);
    m_journal.setLinesPerSecond(m_settings.journal.linesPerSecond);
    m_journal.log(core::LogEvent{"reloaded", {}}.with("applied", absl::StrJoin(change.applied, ",")).with("at_next_start", absl::StrJoin(change.kept, ",")));
}

void GatewayProcess::startStop()
{
    if (m_gateway->isDraining()) {
        return;
    }
    if (!m_hasBegun) {
        m_loop.stop();
        return;
    }
    const absl::Time now = m_loop.timers().now();
    m_journal.log(core::LogEvent{"stopping", {}}.with("open_requests", absl::StrCat(m_gateway->openCount())));
    m_gateway->drain(m_settings.stopGrace - STOP_MARGIN);
    m_store->withdraw();
    m_callers.closeAfterAnswers();
    m_stopEarliest = now + SHORTEST_STOP;
    m_stopAt = now + m_settings.stopGrace - STOP_MARGIN;
    m_stopTimer = m_loop.timers().every(STOP_CHECK_PERIOD, [this] { checkStopped(); });
}

void GatewayProcess::checkStopped()
{
    const absl::Time now = m_loop.timers().now();
    const bool isDone = m_gateway->openCount() == 0 && m_callers.isDrained() && m_links->queuedBytes() == 0;
    if (now < m_stopAt && (now < m_stopEarliest || !isDone)) {
        return;
    }
    // Requests that came with the last connections are served before the end.
    if (m_callers.isListening() && now < m_stopAt) {
        m_callers.stop();
        m_stopEarliest = now + LAST_CONNECTIONS_TIME;
        return;
    }
    m_journal.log(core::LogEvent{"stopped", {}}.with("open_requests", absl::StrCat(m_gateway->openCount())));
    m_callers.stop();
    m_links->stop();
    m_loop.stop();
}

void GatewayProcess::answerCaller(gateway::HttpRequest request, const std::shared_ptr<HttpExchange> &exchange)
{
    const core::RequestId id = m_adapter.headers.requestId(request);
    const gateway::Number number = m_gateway->requests().arrived(std::move(request), std::make_shared<CallerSink>(exchange, m_adapter.headers, id));
    exchange->onClosed([this, number] { m_gateway->requests().callerLeft(number); });
}

void GatewayProcess::answerReadiness(const gateway::HttpRequest &request, HttpExchange &exchange) const
{
    if (!m_adapter.directory.isReadinessCall(request)) {
        exchange.answer({HTTP_NOT_FOUND, {}}, {});
        return;
    }
    exchange.answer({m_gateway->isReady() ? HTTP_OK : HTTP_UNAVAILABLE, {}}, {});
}

void GatewayProcess::answerDirectory(const gateway::HttpRequest &request, HttpExchange &exchange) const
{
    const std::optional<PlaceQuery> query = m_adapter.directory.decodePlaceQuery(request);
    if (!query.has_value()) {
        exchange.answer({HTTP_NOT_FOUND, {}}, {});
        return;
    }
    const std::vector<std::string> addresses = m_gateway->callerAddresses(query->region, query->dataCentre);
    if (addresses.empty()) {
        exchange.answer({HTTP_UNAVAILABLE, {}}, {});
        return;
    }
    exchange.answer({HTTP_OK, {{"Content-Type", "application/json"}}}, m_adapter.directory.encodeAddresses(addresses, m_settings.directoryTimeToLive));
}

} // namespace snipeferry::net
