#include "snipeferry/net/httpserver.h"

#include "httpconnection.h"
#include "socketstate.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace snipeferry::net {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/** Refused connections that are told why at once; further ones are closed. */
constexpr std::size_t MAX_REFUSED_CONNECTIONS = 32;
/** Interval of the search for clients that have left. Their work has to stop within half a second. */
constexpr absl::Duration CLOSE_CHECK_PERIOD = absl::Milliseconds(100);

/** Refusals without a body, for servers whose clients read the status only. */
std::optional<Refusal> statusOnly(Refused reason)
{
    switch (reason) {
    case Refused::HeaderTooLarge:
        return Refusal{{431, {}}, {}};
    case Refused::BodyTooLarge:
        return Refusal{{413, {}}, {}};
    case Refused::TargetTooLong:
        return Refusal{{414, {}}, {}};
    case Refused::Malformed:
    case Refused::AmbiguousLength:
        return Refusal{{400, {}}, {}};
    case Refused::TooManyBytes:
    case Refused::TooManyConnections:
        return Refusal{{503, {}}, {}};
    case Refused::TooSlow:
        break;
    }
    return std::nullopt;
}

} // namespace

void HttpServer::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            self->take(std::move(socket));
        }
        if (self->acceptor.is_open()) {
            self->accept();
        }
    });
}

void HttpServer::Impl::take(Tcp::socket socket)
{
    const bool hasRoom = makeRoom();
    if (!hasRoom && refusedConnections >= MAX_REFUSED_CONNECTIONS) {
        return;
    }
    const std::shared_ptr<Connection> connection = std::make_shared<Connection>(*this, std::move(socket));
    connections.insert(connection);
    if (hasRoom) {
        connection->start();
    } else {
        ++refusedConnections;
        connection->startRefused();
    }
}

/** Takes the connections that the kernel has accepted already: a close of the listening socket would reset them. */
void HttpServer::Impl::acceptWaiting()
{
    ErrorCode error;
    if (!acceptor.is_open()) {
        return;
    }
    acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(loop.context());
        acceptor.accept(socket, error);
        if (!error) {
            take(std::move(socket));
        }
    }
}

/** Closes the connection that has been idle for longest if there is no room for another. */
bool HttpServer::Impl::makeRoom()
{
    if (connections.size() - refusedConnections < settings.maxConnections) {
        return true;
    }
    const auto longest = std::min_element(connections.begin(), connections.end(),
        [](const std::shared_ptr<Connection> &left, const std::shared_ptr<Connection> &right) { return left->idleSince() < right->idleSince(); });
    if (longest == connections.end() || (*longest)->idleSince() == absl::InfiniteFuture()) {
        return false;
    }
    const std::shared_ptr<Connection> connection = *longest; // NOLINT(performance-unnecessary-copy-initialization): closing erases the original
    connection->closeIfIdle();
    return true;
}

void HttpServer::Impl::watchClients()
{
    if (!isWatchingClients) {
        isWatchingClients = true;
        closeCheckTimer = loop.timers().after(CLOSE_CHECK_PERIOD, [this] { closeLeft(); });
    }
}

void HttpServer::Impl::closeLeft()
{
    isWatchingClients = false;
    std::vector<std::shared_ptr<Connection>> answering;
    std::vector<int> sockets;
    for (const std::shared_ptr<Connection> &connection : connections) {
        if (connection->isAnswering()) {
            answering.push_back(connection);
            sockets.push_back(connection->descriptor());
        }
    }
    if (sockets.empty()) {
        return;
    }
    watchClients();
    const std::vector<bool> closed = haveOtherEndsClosed(sockets);
    for (std::size_t index = 0; index < answering.size(); ++index) {
        if (closed[index]) {
            answering[index]->clientGone();
        }
    }
}

HttpServer::HttpServer(EventLoop &loop, HttpHandler handler, HttpServerSettings settings)
    : m_impl(std::make_shared<Impl>(loop, std::move(handler), std::move(settings)))
{
    m_impl->refusals = &statusOnly;
}

HttpServer::~HttpServer()
{
    m_impl->closeCheckTimer.cancel();
    stop();
}

core::Expected<int> HttpServer::listen(const std::string &address)
{
    const core::Expected<std::pair<std::string, int>> parts = splitAddress(address);
    if (!parts) {
        return tl::make_unexpected(parts.error());
    }
    ErrorCode error;
    const Tcp::endpoint endpoint(asio::ip::make_address(parts->first, error), static_cast<unsigned short>(parts->second));
    if (!error) {
        m_impl->acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        m_impl->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        m_impl->acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_impl->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        ErrorCode ignored;
        m_impl->acceptor.close(ignored);
        return tl::make_unexpected(core::makeError(core::ErrorKind::Internal, absl::StrCat("Cannot listen on ", address, ": ", error.message(), ".")));
    }
    m_impl->accept();
    return m_impl->acceptor.local_endpoint().port();
}

void HttpServer::setRefusals(RefusalWriter writer)
{
    m_impl->refusals = std::move(writer);
}

void HttpServer::setLimits(const gateway::CallerLimits &limits)
{
    m_impl->limits = limits;
}

void HttpServer::closeAfterAnswers()
{
    m_impl->isClosing = true;
}

void HttpServer::stop()
{
    m_impl->isClosing = true;
    m_impl->acceptWaiting();
    ErrorCode ignored;
    m_impl->acceptor.close(ignored);
    const std::set<std::shared_ptr<Connection>> connections = m_impl->connections;
    for (const std::shared_ptr<Connection> &connection : connections) {
        connection->closeIfIdle();
    }
}

std::size_t HttpServer::connectionCount() const
{
    return m_impl->connections.size();
}

std::size_t HttpServer::busyCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_impl->connections.begin(), m_impl->connections.end(), [](const std::shared_ptr<Connection> &connection) { return connection->isBusy(); }));
}

bool HttpServer::isDrained() const
{
    return std::none_of(m_impl->connections.begin(), m_impl->connections.end(),
        [](const std::shared_ptr<Connection> &connection) { return connection->isBusy() || connection->hasUnreadBytes(); });
}

bool HttpServer::isListening() const
{
    return m_impl->acceptor.is_open();
}

core::Expected<std::pair<std::string, int>> splitAddress(const std::string &address)
{
    const std::vector<std::string> parts = absl::StrSplit(address, ':');
    int port = 0;
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port) || port < 0 || port > 65535) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationInvalid, absl::StrCat("Not an address: ", address)));
    }
    return std::make_pair(parts[0], port);
}

bool isConnectionHeader(const std::string &name)
{
    static const std::array<const char *, 9> NAMES
        = {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"};
    return std::any_of(NAMES.begin(), NAMES.end(), [&](const char *candidate) { return absl::EqualsIgnoreCase(name, candidate); });
}

} // namespace snipeferry::net
