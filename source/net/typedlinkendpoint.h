#pragma once

#include "snipeferry/net/httpserver.h"
#include "snipeferry/net/linkendpoint.h"
#include "socketoptions.h"

#include <absl/strings/str_cat.h>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

#include <map>
#include <utility>
#include <variant>

/**
 * LinkEndpoint over one kind of websocket endpoints. Included once for plain and once for secured links, since the library is
 * slow to compile.
 */
namespace snipeferry::net {

constexpr long LINK_TIMEOUT_MS = 1000;
constexpr std::size_t LINK_BUFFER_BYTES = 4096;

/** Settings of the websocket library: short timeouts, small buffers. */
template<typename Base>
struct LinkConfig : public Base // NOLINT(readability-identifier-naming): names fixed by the library
{
    using type = LinkConfig;
    struct transport_config : public Base::transport_config // NOLINT(readability-identifier-naming): name fixed by the library
    {
        static constexpr long timeout_connect = LINK_TIMEOUT_MS; // NOLINT(readability-identifier-naming): name fixed by the library
        static constexpr long timeout_close_handshake = LINK_TIMEOUT_MS; // NOLINT(readability-identifier-naming): name fixed by the library
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
    static constexpr std::size_t connection_read_buffer_size = LINK_BUFFER_BYTES; // NOLINT(readability-identifier-naming): name fixed by the library
};

/**
 * @tparam Traits Server and Client, SCHEME, prepare(endpoint) for settings of its kind, certificateName(connection)
 */
template<typename Traits>
class TypedLinkEndpoint : public LinkEndpoint
{
public:
    TypedLinkEndpoint(EventLoop &loop, const LinkEndpointSettings &settings, LinkEndpointEvents events, Traits traits)
        : m_loop(loop),
          m_settings(settings),
          m_events(std::move(events)),
          m_traits(std::move(traits))
    {
        prepare(m_server);
        prepare(m_client);
        m_server.set_reuse_addr(true);
        m_server.set_open_handler([this, isAlive = m_isAlive](const Handle &handle) {
            if (*isAlive) {
                accepted(handle);
            }
        });
    }

    ~TypedLinkEndpoint() override
    {
        stopListening();
        while (!m_connections.empty()) {
            terminate(m_connections.begin()->first);
        }
        *m_isAlive = false;
    }

    core::Expected<std::string> listen(const std::string &address) override
    {
        const core::Expected<std::pair<std::string, int>> parts = splitAddress(address);
        if (!parts) {
            return tl::make_unexpected(parts.error());
        }
        ErrorCode error;
        m_server.listen(parts->first, std::to_string(parts->second), error);
        if (!error) {
            m_server.start_accept(error);
        }
        boost::system::error_code localError;
        const boost::asio::ip::tcp::endpoint local = error ? boost::asio::ip::tcp::endpoint() : m_server.get_local_endpoint(localError);
        if (error || localError) {
            return tl::make_unexpected(
                core::makeError(core::ErrorKind::ConfigurationInvalid, absl::StrCat("Cannot listen for peer links on ", address, ": ", error.message(), ".")));
        }
        return absl::StrCat(local.address().to_string(), ":", local.port());
    }

    std::optional<LinkId> dial(const std::string &address) override
    {
        ErrorCode error;
        const ClientConnection connection = m_client.get_connection(absl::StrCat(Traits::SCHEME, address, "/"), error);
        if (error) {
            return std::nullopt;
        }
        const LinkId link = attach(connection);
        connection->set_open_handler([this, link, isAlive = m_isAlive](const Handle & /*handle*/) {
            if (*isAlive && m_connections.count(link) > 0) {
                tune(link);
                m_events.opened(link, true);
            }
        });
        connection->set_fail_handler(endHandler(link));
        m_client.connect(connection);
        return link;
    }

    bool send(LinkId link, const std::string &bytes) override
    {
        bool isSent = false;
        with(link, [&](const auto &connection) { isSent = !connection->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary); });
        return isSent;
    }

    std::size_t queuedBytes(LinkId link) const override
    {
        std::size_t bytes = 0;
        with(link, [&](const auto &connection) { bytes = connection->get_buffered_amount(); });
        return bytes;
    }

    std::string certificateName(LinkId link) const override
    {
        std::string name;
        with(link, [&](const auto &connection) { name = m_traits.certificateName(*connection); });
        return name;
    }

    void ping(LinkId link) override
    {
        ErrorCode ignored;
        with(link, [&](const auto &connection) { connection->ping({}, ignored); });
    }

    void close(LinkId link) override
    {
        ErrorCode ignored;
        with(link, [&](const auto &connection) { connection->close(websocketpp::close::status::going_away, {}, ignored); });
    }

    void terminate(LinkId link) override
    {
        const auto it = m_connections.find(link);
        if (it == m_connections.end()) {
            return;
        }
        const Connection connection = it->second;
        m_connections.erase(it);
        std::visit([](const auto &typed) { typed->terminate(ErrorCode()); }, connection);
    }

    void stopListening() override
    {
        ErrorCode ignored;
        if (m_server.is_listening()) {
            m_server.stop_listening(ignored);
        }
    }

private:
    using Server = typename Traits::Server;
    using Client = typename Traits::Client;
    using Handle = websocketpp::connection_hdl;
    using ErrorCode = websocketpp::lib::error_code;
    using ClientConnection = typename Client::connection_ptr;
    using ServerConnection = typename Server::connection_ptr;
    using Connection = std::variant<ServerConnection, ClientConnection>;

    template<typename Endpoint>
    void prepare(Endpoint &endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&m_loop.context());
        endpoint.set_max_message_size(m_settings.maxFrameBytes);
        endpoint.set_open_handshake_timeout(static_cast<long>(absl::ToInt64Milliseconds(m_settings.openTimeout)));
        m_traits.prepare(endpoint);
    }

    /** Calls a function with the connection, if it is still there. */
    template<typename Function>
    void with(LinkId link, Function function) const
    {
        const auto it = m_connections.find(link);
        if (it != m_connections.end()) {
            const Connection connection = it->second;
            std::visit(function, connection);
        }
    }

    std::function<void(const Handle &)> endHandler(LinkId link)
    {
        return [this, link, isAlive = m_isAlive](const Handle & /*handle*/) {
            if (*isAlive && m_connections.erase(link) > 0) {
                m_events.closed(link);
            }
        };
    }

    template<typename TypedConnection>
    LinkId attach(const TypedConnection &connection)
    {
        const LinkId link = ++m_lastLink;
        m_connections.emplace(link, connection);
        connection->set_message_handler([this, link, isAlive = m_isAlive](const Handle & /*handle*/, const typename Server::message_ptr &message) {
            if (*isAlive && m_connections.count(link) > 0) {
                m_events.received(link, message->get_opcode() == websocketpp::frame::opcode::binary, message->get_payload());
            }
        });
        connection->set_pong_handler([this, link, isAlive = m_isAlive](const Handle & /*handle*/, const std::string & /*payload*/) {
            if (*isAlive && m_connections.count(link) > 0) {
                m_events.heard(link);
            }
        });
        connection->set_close_handler(endHandler(link));
        return link;
    }

    void accepted(const Handle &handle)
    {
        ErrorCode error;
        const ServerConnection connection = m_server.get_con_from_hdl(handle, error);
        if (error) {
            return;
        }
        const LinkId link = attach(connection);
        tune(link);
        m_events.opened(link, false);
    }

    void tune(LinkId link)
    {
        with(link, [&](const auto &connection) { setLinkOptions(connection->get_raw_socket(), m_settings.lossTimeout); });
    }

    EventLoop &m_loop;
    const LinkEndpointSettings m_settings;
    const LinkEndpointEvents m_events;
    Traits m_traits;
    Server m_server;
    Client m_client;
    std::map<LinkId, Connection> m_connections;
    LinkId m_lastLink = 0;
    /** Ends with this object; handlers that the library still holds find it gone. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace snipeferry::net
