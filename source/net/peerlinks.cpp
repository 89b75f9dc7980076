#include "snipeferry/net/peerlinks.h"

#include "snipeferry/net/fleetcodec.h"
#include "snipeferry/net/httpserver.h"
#include "socketoptions.h"

#include <absl/strings/str_cat.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <set>

namespace snipeferry::net {

namespace {

constexpr long CONNECT_TIMEOUT_MS = 1000;
constexpr std::size_t READ_BUFFER_BYTES = 4096;
constexpr std::size_t MAX_FRAME_BYTES = 24U << 20U;
/** Bytes waiting on one link beyond which it is given up. */
constexpr std::size_t MAX_QUEUED_BYTES = 8U << 20U;
/** Pulses come every second or more often. */
constexpr absl::Duration SILENCE_LIMIT = absl::Milliseconds(2800);
constexpr absl::Duration CHECK_PERIOD = absl::Milliseconds(300);
constexpr absl::Duration LOSS_TIMEOUT = absl::Seconds(3);

/** Settings of the websocket library: short timeouts, small buffers. */
template<typename Base>
struct LinkConfig : public Base // NOLINT(readability-identifier-naming): names fixed by the library
{
    using type = LinkConfig;
    struct transport_config : public Base::transport_config // NOLINT(readability-identifier-naming): name fixed by the library
    {
        static constexpr long timeout_connect = CONNECT_TIMEOUT_MS; // NOLINT(readability-identifier-naming): name fixed by the library
        static constexpr long timeout_open_handshake = CONNECT_TIMEOUT_MS; // NOLINT(readability-identifier-naming): name fixed by the library
        static constexpr long timeout_close_handshake = CONNECT_TIMEOUT_MS; // NOLINT(readability-identifier-naming): name fixed by the library
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
    static constexpr std::size_t connection_read_buffer_size = READ_BUFFER_BYTES; // NOLINT(readability-identifier-naming): name fixed by the library
    static constexpr std::size_t max_message_size = MAX_FRAME_BYTES; // NOLINT(readability-identifier-naming): name fixed by the library
};

using Server = websocketpp::server<LinkConfig<websocketpp::config::asio>>;
using Client = websocketpp::client<LinkConfig<websocketpp::config::asio_client>>;
using Handle = websocketpp::connection_hdl;
using HandleLess = std::owner_less<Handle>;

} // namespace

class PeerLinks::Impl
{
public:
    Impl(EventLoop &loop, gateway::Member self, LinkEvents events, gateway::Journal &journal)
        : m_loop(loop),
          m_self(std::move(self)),
          m_events(std::move(events)),
          m_journal(journal)
    {
        prepare(m_server, false);
        prepare(m_client, true);
        m_checkTimer = loop.timers().every(CHECK_PERIOD, [this] { check(); });
    }

    core::Expected<void> start()
    {
        const core::Expected<std::pair<std::string, int>> parts = splitAddress(m_self.peerAddress);
        if (!parts) {
            return tl::make_unexpected(parts.error());
        }
        websocketpp::lib::error_code error;
        m_server.set_reuse_addr(true);
        m_server.listen(parts->first, std::to_string(parts->second), error);
        if (!error) {
            m_server.start_accept(error);
        }
        if (error) {
            return tl::make_unexpected(
                core::makeError(core::ErrorKind::Internal, absl::StrCat("Cannot listen on ", m_self.peerAddress, ": ", error.message())));
        }
        return {};
    }

    void keep(const std::vector<gateway::Member> &members)
    {
        m_wanted.clear();
        for (const gateway::Member &member : members) {
            m_wanted[member.id] = member;
        }
        check();
    }

    bool send(const core::InstanceId &to, const gateway::FleetMessage &message)
    {
        const auto link = m_links.find(to);
        if (link == m_links.end()) {
            return false;
        }
        return sendOn(link->second.handle, link->second.isDialled, encodeFleetMessage(message));
    }

    void stop()
    {
        m_checkTimer.cancel();
        websocketpp::lib::error_code ignored;
        m_server.stop_listening(ignored);
        m_isStopped = true;
        const std::map<core::InstanceId, Link> links = m_links;
        for (const auto &entry : links) {
            terminate(entry.second.handle, entry.second.isDialled);
        }
    }

private:
    struct Link
    {
        Handle handle;
        bool isDialled = false;
        absl::Time heardAt;
    };

    template<typename Endpoint>
    void prepare(Endpoint &endpoint, bool isDialled)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&m_loop.context());
        endpoint.set_open_handler([this, isDialled](const Handle &handle) { opened(handle, isDialled); });
        endpoint.set_close_handler([this](const Handle &handle) { closed(handle); });
        endpoint.set_fail_handler([this](const Handle &handle) { m_dialling.erase(dialled(handle)); });
        endpoint.set_message_handler(
            [this, isDialled](const Handle &handle, const typename Endpoint::message_ptr &message) { received(handle, isDialled, message->get_payload()); });
    }

    core::InstanceId dialled(const Handle &handle) const
    {
        const auto it = m_diallingHandles.find(handle);
        return it == m_diallingHandles.end() ? core::InstanceId() : it->second;
    }

    template<typename Endpoint>
    static void tune(Endpoint &endpoint, const Handle &handle)
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (!error) {
            setLinkOptions(connection->get_raw_socket(), LOSS_TIMEOUT);
        }
    }

    void opened(const Handle &handle, bool isDialled)
    {
        isDialled ? tune(m_client, handle) : tune(m_server, handle);
        m_opening[handle] = m_loop.timers().now();
        sendOn(handle, isDialled, encodeFleetMessage(gateway::Greeting{m_self}));
    }

    void closed(const Handle &handle)
    {
        m_opening.erase(handle);
        m_dialling.erase(dialled(handle));
        m_diallingHandles.erase(handle);
        const auto name = m_names.find(handle);
        if (name == m_names.end()) {
            return;
        }
        const core::InstanceId id = name->second;
        m_names.erase(name);
        m_links.erase(id);
        if (!m_isStopped) {
            m_events.down(id);
        }
    }

    template<typename Endpoint>
    bool sendWith(Endpoint &endpoint, const Handle &handle, const std::string &bytes)
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error || connection->get_buffered_amount() > MAX_QUEUED_BYTES) {
            return false;
        }
        return !connection->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
    }

    bool sendOn(const Handle &handle, bool isDialled, const std::string &bytes)
    {
        return isDialled ? sendWith(m_client, handle, bytes) : sendWith(m_server, handle, bytes);
    }

    template<typename Endpoint>
    static void terminateWith(Endpoint &endpoint, const Handle &handle)
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (!error) {
            connection->terminate(websocketpp::lib::error_code());
        }
    }

    /** Closes a link without a farewell: the other end may be out of reach. */
    void terminate(const Handle &handle, bool isDialled)
    {
        closed(handle);
        isDialled ? terminateWith(m_client, handle) : terminateWith(m_server, handle);
    }

    void received(const Handle &handle, bool isDialled, const std::string &bytes)
    {
        const core::Expected<gateway::FleetMessage> message = decodeFleetMessage(bytes);
        if (!message) {
            m_journal.log(core::LogEvent{"peer_message_unreadable", {}}.with("error", message.error().message));
            terminate(handle, isDialled);
            return;
        }
        const auto name = m_names.find(handle);
        if (name != m_names.end()) {
            const core::InstanceId id = name->second;
            m_links[id].heardAt = m_loop.timers().now();
            m_events.received(id, *message);
            return;
        }
        // The first message says who is there.
        const gateway::Greeting *greeting = std::get_if<gateway::Greeting>(&*message);
        if (greeting == nullptr || greeting->sender.id.isEmpty() || greeting->sender.id == m_self.id) {
            terminate(handle, isDialled);
            return;
        }
        greeted(handle, isDialled, greeting->sender);
    }

    void greeted(const Handle &handle, bool isDialled, const gateway::Member &peer)
    {
        const auto before = m_links.find(peer.id);
        if (before != m_links.end()) {
            // The newer link is the one that works.
            const Link old = before->second;
            terminate(old.handle, old.isDialled);
        }
        m_opening.erase(handle);
        m_dialling.erase(peer.id);
        m_names[handle] = peer.id;
        m_links[peer.id] = Link{handle, isDialled, m_loop.timers().now()};
        m_events.up(peer);
    }

    void check()
    {
        const absl::Time now = m_loop.timers().now();
        // Close what is silent.
        std::vector<Link> silent;
        for (const auto &entry : m_links) {
            if (now - entry.second.heardAt > SILENCE_LIMIT) {
                silent.push_back(entry.second);
            }
        }
        for (const Link &link : silent) {
            m_journal.log(core::LogEvent{"peer_silent", {}}.with("instance", m_names[link.handle].value()));
            terminate(link.handle, link.isDialled);
        }
        // Open what is missing.
        for (const auto &entry : m_wanted) {
            const auto since = m_dialling.find(entry.first);
            const bool isDialling = since != m_dialling.end() && now - since->second < absl::Milliseconds(2 * CONNECT_TIMEOUT_MS);
            if (m_self.id < entry.first && m_links.count(entry.first) == 0 && !isDialling) {
                dial(entry.second);
            }
        }
    }

    void dial(const gateway::Member &member)
    {
        websocketpp::lib::error_code error;
        const Client::connection_ptr connection = m_client.get_connection(absl::StrCat("ws://", member.peerAddress, "/"), error);
        if (error) {
            m_journal.log(core::LogEvent{"peer_address_unusable", {}}.with("instance", member.id.value()).with("error", error.message()));
            return;
        }
        m_dialling[member.id] = m_loop.timers().now();
        m_diallingHandles[connection->get_handle()] = member.id;
        m_client.connect(connection);
    }

    EventLoop &m_loop;
    gateway::Member m_self;
    LinkEvents m_events;
    gateway::Journal &m_journal;
    Server m_server;
    Client m_client;
    bool m_isStopped = false;
    std::map<core::InstanceId, gateway::Member> m_wanted;
    std::map<core::InstanceId, Link> m_links;
    std::map<Handle, core::InstanceId, HandleLess> m_names;
    std::map<Handle, absl::Time, HandleLess> m_opening;
    std::map<core::InstanceId, absl::Time> m_dialling;
    std::map<Handle, core::InstanceId, HandleLess> m_diallingHandles;
    core::Subscription m_checkTimer;
};

PeerLinks::PeerLinks(EventLoop &loop, gateway::Member self, LinkEvents events, gateway::Journal &journal)
    : m_impl(std::make_unique<Impl>(loop, std::move(self), std::move(events), journal))
{
}

PeerLinks::~PeerLinks() = default;

core::Expected<void> PeerLinks::start()
{
    return m_impl->start();
}

void PeerLinks::keep(const std::vector<gateway::Member> &members)
{
    m_impl->keep(members);
}

bool PeerLinks::send(const core::InstanceId &to, const gateway::FleetMessage &message)
{
    return m_impl->send(to, message);
}

void PeerLinks::stop()
{
    m_impl->stop();
}

} // namespace snipeferry::net
