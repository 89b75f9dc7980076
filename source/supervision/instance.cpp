#include "snipeferry/supervision/instance.h"

#include "snipeferry/net/stdoutjournal.h"
#include "snipeferry/observability/decisionjournal.h"
#include "snipeferry/observability/operationsserver.h"
#include "snipeferry/supervision/supervisor.h"

#include <unistd.h>

namespace snipeferry::supervision {

namespace {

constexpr int HTTP_OK = 200;
/** An answer that is no stream is collected up to this size, so that a failure can still become an error answer. */
constexpr std::size_t MAX_COLLECTED_BYTES = std::size_t{1} << 20;

net::JournalSettings logSettings()
{
    net::JournalSettings settings;
    // The daemon's machines have room for a reader that stands still for a while.
    settings.linesPerSecond = 1000;
    settings.bufferBytes = std::size_t{1} << 20;
    return settings;
}

} // namespace

class Instance::Impl : public ActionSinks
{
public:
    Impl(net::EventLoop &loop, settings::DaemonSettings settings);

    core::Expected<void> start();
    void drain();
    void stop();
    void reloadPeerKeys();

    void endRequests()
    {
        m_registry.failAll(core::Error{core::ErrorKind::InstanceDraining, "The instance is stopping.", core::RanState::Unknown, std::nullopt});
    }

    bool hasUnsentAnswers() const
    {
        return m_callers != nullptr && m_callers->busyConnections() > 0;
    }

    bool isDraining() const
    {
        return m_isDraining;
    }

    bool isDrained() const
    {
        return m_core.isDrained() && m_registry.size() == 0 && !hasUnsentAnswers();
    }

    bool hasFailed() const
    {
        return m_supervisor.hasFailed();
    }

    const InstanceAddresses &addresses() const
    {
        return m_addresses;
    }

    void log(const core::LogEvent &event);

    void carryOut(const messages::SendToPeer &action) override;
    void carryOut(const messages::KeepLinks &action) override;
    void carryOut(const platform::Call &action) override;
    void carryOut(const messages::Dispatch &action) override;
    void carryOut(const messages::CancelDispatch &action) override;
    void carryOut(const messages::AnswerHead &action) override;
    void carryOut(const messages::AnswerChunk &action) override;
    void carryOut(const messages::AnswerEnd &action) override;
    void carryOut(const messages::AnswerError &action) override;
    void carryOut(const messages::Log &action) override;
    void carryOut(const messages::Count &action) override;

private:
    void addChildren();
    std::string metricsPage();
    core::Expected<void> startCallers();
    core::Expected<void> startOperations();
    core::Expected<void> startPeers();
    core::Expected<void> startMetrics();
    void callerGone(const http::CallerGone &event);
    void takePlatformEvent(messages::Event event);

    net::EventLoop &m_loop;
    settings::DaemonSettings m_settings;
    InstanceAddresses m_addresses;
    net::StdoutJournal m_log;
    observability::DecisionJournal m_journal;
    http::CallerRegistry m_registry;
    CoreLoop m_core;
    const messages::EventSink m_sink;
    http::BackendClient m_backends;
    http::BackendMonitor m_monitor;
    peers::PeerTransport m_peers;
    platform::PlatformClient m_platform;
    std::unique_ptr<http::CallerServer> m_callers;
    std::unique_ptr<observability::OperationsServer> m_operations;
    std::unique_ptr<net::HttpServer> m_metrics;
    bool m_isDraining = false;
    Supervisor m_supervisor;
};

Instance::Impl::Impl(net::EventLoop &loop, settings::DaemonSettings settings)
    : m_loop(loop),
      m_settings(std::move(settings)),
      m_log(loop, logSettings(), STDOUT_FILENO),
      m_journal(m_settings.journalLines),
      m_registry(MAX_COLLECTED_BYTES, [this](const http::CallerGone &event) { callerGone(event); }),
      m_core(
          loop, m_settings.loop, [this](core::TimerService &timers) { return std::make_unique<NodeCore>(m_settings.node, timers); }, *this),
      m_sink([this](messages::Event event) { m_core.post(std::move(event)); }),
      m_backends(loop, m_settings.backends, m_sink),
      m_monitor(loop, m_settings.monitor, http::makeJsonReports(), m_sink),
      m_peers(loop, m_settings.peers, m_sink),
      m_platform(loop, m_settings.platform, [this](messages::Event event) { takePlatformEvent(std::move(event)); }),
      m_supervisor(loop.timers(), SupervisorSettings(), [this](const core::LogEvent &event) { log(event); })
{
    // A later process at the same address has the higher number; nothing is kept on a disk.
    m_settings.node.self.incarnation = static_cast<core::Incarnation>(absl::ToUnixMicros(loop.timers().wallNow()));
    if (m_settings.node.seed == 0) {
        m_settings.node.seed = m_settings.node.self.incarnation;
    }
    addChildren();
}

/** Adapters that listen start before the loop, so that the node learns the ports that the kernel chose. */
void Instance::Impl::addChildren()
{
    const auto always = [] {
        return true;
    };
    m_supervisor.add({"metrics", [this] { return startMetrics(); }, [this] { m_metrics->stop(); },
        [this] {
            return m_metrics->isListening();
        }});
    m_supervisor.add({"operations", [this] { return startOperations(); }, [this] { m_operations->stop(); },
        [this] {
            return m_operations->isRunning();
        }});
    m_supervisor.add({"callers", [this] { return startCallers(); }, [this] { m_callers->stop(); },
        [this] {
            return m_callers->isRunning();
        }});
    m_supervisor.add({"peers", [this] { return startPeers(); }, [this] { m_peers.stop(); }, always});
    m_supervisor.add({"core",
        [this]() -> core::Expected<void> {
            m_core.start();
            return {};
        },
        [this] { m_core.stop(); }, [this] { return m_core.isRunning(); }, true});
    m_supervisor.add({"backend_client", []() -> core::Expected<void> { return {}; }, [this] { m_backends.stop(); }, always});
    m_supervisor.add({"backend_monitor",
        [this]() -> core::Expected<void> {
            m_monitor.start();
            return {};
        },
        [this] { m_monitor.stop(); }, always});
    m_supervisor.add({"platform",
        [this]() -> core::Expected<void> {
            m_platform.start();
            return {};
        },
        [this] { m_platform.stop(); }, always});
}

core::Expected<void> Instance::Impl::startMetrics()
{
    m_metrics = std::make_unique<net::HttpServer>(m_loop, [this](const gateway::HttpRequest & /*request*/, const std::shared_ptr<net::HttpExchange> &exchange) {
        exchange->answer({HTTP_OK, {{"Content-Type", "text/plain; version=0.0.4"}}}, metricsPage());
    });
    const core::Expected<std::string> address = http::listenOn(*m_metrics, m_settings.metricsAddress);
    m_addresses.metrics = address.value_or("");
    return address.map([](const std::string &) {});
}

std::string Instance::Impl::metricsPage()
{
    const std::shared_ptr<const configuration::Configuration> configuration = m_core.configuration();
    m_log.gauge("ready", m_core.isReady() && m_supervisor.isHealthy() ? 1.0 : 0.0);
    m_log.gauge("open_requests", static_cast<double>(m_registry.size()));
    m_log.gauge("open_attempts", static_cast<double>(m_backends.openAttempts()));
    m_log.gauge("waiting_events", static_cast<double>(m_core.waiting()));
    m_log.gauge("configuration_revision", configuration == nullptr ? 0.0 : static_cast<double>(configuration->revision));
    return m_log.metricsPage();
}

core::Expected<void> Instance::Impl::start()
{
    core::Expected<void> started = m_supervisor.start();
    if (started.has_value()) {
        log(core::LogEvent{"started", {}}
                .with("instance", m_settings.node.self.id.value())
                .with("data_centre", m_settings.node.self.dataCentre.value())
                .with("callers", m_addresses.callers)
                .with("peers", m_addresses.peers)
                .with("operations", m_addresses.operations)
                .with("metrics", m_addresses.metrics));
    }
    m_log.flush();
    return started;
}

core::Expected<void> Instance::Impl::startCallers()
{
    m_callers = std::make_unique<http::CallerServer>(m_loop, m_settings.callers, m_core, m_registry);
    const core::Expected<std::string> address = m_callers->start();
    if (address.has_value()) {
        // A restart keeps the port that others already know.
        m_settings.callers.server.listenAddress = *address;
        m_settings.node.self.callerAddress = *address;
        m_addresses.callers = *address;
    }
    return address.map([](const std::string &) {});
}

core::Expected<void> Instance::Impl::startOperations()
{
    m_operations = std::make_unique<observability::OperationsServer>(m_loop,
        observability::OperationsSettings{m_settings.operationsAddress, [this] { return m_supervisor.isHealthy(); },
            [this] {
                drain();
            }},
        m_core, m_journal);
    const core::Expected<std::string> address = m_operations->start();
    if (address.has_value()) {
        m_settings.operationsAddress = *address;
        m_addresses.operations = *address;
    }
    return address.map([](const std::string &) {});
}

core::Expected<void> Instance::Impl::startPeers()
{
    const core::Expected<std::string> address = m_peers.start(m_settings.node.self);
    if (address.has_value()) {
        m_settings.node.self.peerAddress = *address;
        m_addresses.peers = *address;
    }
    return address.map([](const std::string &) {});
}

void Instance::Impl::drain()
{
    if (!m_isDraining) {
        m_isDraining = true;
        log(core::LogEvent{"drain_started", {}});
        m_core.post(messages::DrainRequested{});
    }
}

void Instance::Impl::stop()
{
    m_supervisor.stop();
    m_log.flush();
}

void Instance::Impl::reloadPeerKeys()
{
    const core::Expected<void> reloaded = m_peers.reloadKeys();
    if (reloaded.has_value()) {
        log(core::LogEvent{"peer_keys_reloaded", {}});
    } else {
        log(core::LogEvent{"peer_keys_failed", {}}.with("reason", reloaded.error().message));
    }
}

void Instance::Impl::takePlatformEvent(messages::Event event)
{
    if (const messages::DirectoryChanged *change = std::get_if<messages::DirectoryChanged>(&event)) {
        m_monitor.setServers(change->snapshot.backendServers);
    }
    m_core.post(std::move(event));
}

void Instance::Impl::log(const core::LogEvent &event)
{
    m_log.log(event);
    m_journal.add(event);
}

void Instance::Impl::carryOut(const messages::SendToPeer &action)
{
    m_peers.send(action.to, action.message);
}

void Instance::Impl::carryOut(const messages::KeepLinks &action)
{
    m_peers.keepLinks(action.peers);
}

void Instance::Impl::carryOut(const platform::Call &action)
{
    m_platform.call(action);
}

void Instance::Impl::carryOut(const messages::Dispatch &action)
{
    m_backends.dispatch(action);
}

void Instance::Impl::carryOut(const messages::CancelDispatch &action)
{
    m_backends.cancel(action);
}

void Instance::Impl::carryOut(const messages::AnswerHead &action)
{
    m_registry.deliver(action);
}

void Instance::Impl::carryOut(const messages::AnswerChunk &action)
{
    m_registry.deliver(action);
}

void Instance::Impl::callerGone(const http::CallerGone &event)
{
    if (event.wasSlow) {
        m_log.count("slow_callers_total", "", 1);
    }
    m_core.post(messages::CallerLeft{event.request});
}

void Instance::Impl::carryOut(const messages::AnswerEnd &action)
{
    m_registry.deliver(action);
}

void Instance::Impl::carryOut(const messages::AnswerError &action)
{
    m_log.count("error_answers_total", core::errorAnswer(action.error.kind).name, 1);
    m_registry.deliver(action);
}

void Instance::Impl::carryOut(const messages::Log &action)
{
    log(action.event);
}

void Instance::Impl::carryOut(const messages::Count &action)
{
    m_log.count(action.name + "_total", action.label, action.amount);
}

Instance::Instance(net::EventLoop &loop, settings::DaemonSettings settings)
    : m_impl(std::make_unique<Impl>(loop, std::move(settings)))
{
}

Instance::~Instance()
{
    stop();
}

core::Expected<void> Instance::start()
{
    return m_impl->start();
}

void Instance::drain()
{
    m_impl->drain();
}

bool Instance::isDraining() const
{
    return m_impl->isDraining();
}

bool Instance::isDrained() const
{
    return m_impl->isDrained();
}

bool Instance::hasFailed() const
{
    return m_impl->hasFailed();
}

void Instance::endRequests()
{
    m_impl->endRequests();
}

bool Instance::hasUnsentAnswers() const
{
    return m_impl->hasUnsentAnswers();
}

void Instance::stop()
{
    m_impl->stop();
}

void Instance::reloadPeerKeys()
{
    m_impl->reloadPeerKeys();
}

void Instance::log(const core::LogEvent &event)
{
    m_impl->log(event);
}

const InstanceAddresses &Instance::addresses() const
{
    return m_impl->addresses();
}

} // namespace snipeferry::supervision
