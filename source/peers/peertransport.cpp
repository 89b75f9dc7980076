#include "snipeferry/peers/peertransport.h"

#include "keyfiles.h"
#include "linkkeeper.h"
#include "securedlinkendpoint.h"

#include <utility>

namespace snipeferry::peers {

namespace {

using SslContext = boost::asio::ssl::context;

constexpr absl::Duration TICK_INTERVAL = absl::Milliseconds(100);
/** Limit for opening a connection. The TLS handshake takes several round trips, which are long between regions. */
constexpr absl::Duration OPEN_TIMEOUT = absl::Seconds(5);
/** Time without acknowledgement after which a connection is lost. Longer than the pings of silent links take, so that those detect a lost peer first. */
constexpr absl::Duration LOSS_TIMEOUT = absl::Seconds(12);

} // namespace

class PeerTransport::Impl
{
public:
    Impl(net::EventLoop &loop, PeerSettings settings, messages::EventSink sink)
        : m_loop(loop),
          m_settings(std::move(settings)),
          m_sink(std::move(sink))
    {
    }

    core::Expected<std::string> start(const membership::InstanceDescription &self)
    {
        if (core::Expected<void> loaded = loadKeys(); !loaded) {
            return tl::make_unexpected(loaded.error());
        }
        m_keeper = std::make_unique<LinkKeeper>(m_loop.timers(), m_settings, m_sink, self);
        const net::LinkEndpointSettings settings{OPEN_TIMEOUT, m_settings.maxFrameBytes, LOSS_TIMEOUT};
        m_endpoint = usesTls(m_settings) ? makeTlsEndpoint(m_loop, settings, endpointEvents(), [this] { return m_context; })
                                         : net::makePlainEndpoint(m_loop, settings, endpointEvents());
        m_keeper->useEndpoint(*m_endpoint);
        core::Expected<std::string> address = m_endpoint->listen(m_settings.listenAddress);
        if (address) {
            m_keeper->advertiseAddress(*address);
            m_tickSubscription = m_loop.timers().every(TICK_INTERVAL, [this] { m_keeper->tick(); });
        }
        return address;
    }

    void stop()
    {
        if (m_keeper != nullptr) {
            m_tickSubscription.cancel();
            m_endpoint->stopListening();
            m_keeper->beginStop();
        }
    }

    void keepLinks(const std::vector<membership::InstanceDescription> &peers)
    {
        if (m_keeper != nullptr) {
            m_keeper->replaceTargets(peers);
        }
    }

    void send(const core::InstanceId &to, const messages::PeerMessage &message)
    {
        if (m_keeper != nullptr) {
            m_keeper->send(to, message);
        }
    }

    core::Expected<void> loadKeys()
    {
        if (!usesTls(m_settings)) {
            return {};
        }
        const core::Expected<std::shared_ptr<SslContext>> context = makeTlsContext(m_settings);
        if (!context) {
            return tl::make_unexpected(context.error());
        }
        m_context = *context;
        return {};
    }

private:
    net::LinkEndpointEvents endpointEvents()
    {
        net::LinkEndpointEvents events;
        events.opened = [this](LinkId id, bool isDialled) {
            m_keeper->opened(id, isDialled);
        };
        events.received = [this](LinkId id, bool isBinary, const std::string &bytes) {
            m_keeper->received(id, isBinary, bytes);
        };
        events.heard = [this](LinkId id) {
            m_keeper->heard(id);
        };
        events.closed = [this](LinkId id) {
            m_keeper->closed(id);
        };
        return events;
    }

    net::EventLoop &m_loop;
    PeerSettings m_settings;
    messages::EventSink m_sink;
    std::shared_ptr<SslContext> m_context;
    std::unique_ptr<LinkKeeper> m_keeper;
    std::unique_ptr<net::LinkEndpoint> m_endpoint;
    core::Subscription m_tickSubscription;
};

PeerTransport::PeerTransport(net::EventLoop &loop, PeerSettings settings, messages::EventSink sink)
    : m_impl(std::make_unique<Impl>(loop, std::move(settings), std::move(sink)))
{
}

PeerTransport::~PeerTransport() = default;

core::Expected<std::string> PeerTransport::start(const membership::InstanceDescription &self)
{
    return m_impl->start(self);
}

void PeerTransport::stop()
{
    m_impl->stop();
}

void PeerTransport::keepLinks(const std::vector<membership::InstanceDescription> &peers)
{
    m_impl->keepLinks(peers);
}

void PeerTransport::send(const core::InstanceId &to, const messages::PeerMessage &message)
{
    m_impl->send(to, message);
}

core::Expected<void> PeerTransport::reloadKeys()
{
    return m_impl->loadKeys();
}

} // namespace snipeferry::peers
