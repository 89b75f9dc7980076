#include "snipeferry/net/httpserver.h"

#include "httpbytes.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace snipeferry::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/** After the last answer the client gets this long to read it before the socket closes. */
constexpr absl::Duration LINGER_TIME = absl::Seconds(1);
constexpr std::size_t READ_BUFFER_BYTES = 8192;
/** Refused connections that are told why at once; further ones are closed. */
constexpr std::size_t MAX_REFUSED_CONNECTIONS = 32;

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

/** Two lengths, a length beside a transfer encoding, or another encoding would let two readers see different requests. */
template<typename Message>
bool isLengthAmbiguous(const Message &message)
{
    const std::size_t lengths = message.count(http::field::content_length);
    const std::size_t encodings = message.count(http::field::transfer_encoding);
    const bool isChunkedOnly = encodings == 0 || absl::EqualsIgnoreCase(std::string(message[http::field::transfer_encoding]), "chunked");
    return lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0) || !isChunkedOnly;
}

bool isLengthError(ErrorCode error)
{
    return error == http::error::bad_content_length || error == http::error::bad_transfer_encoding;
}

} // namespace

class Connection;

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(EventLoop &eventLoop, HttpHandler requestHandler, HttpServerSettings bounds)
        : loop(eventLoop),
          handler(std::move(requestHandler)),
          settings(bounds),
          acceptor(eventLoop.context())
    {
    }

    void accept();
    void take(Tcp::socket socket);
    bool makeRoom();

    EventLoop &loop;
    HttpHandler handler;
    HttpServerSettings settings;
    RefusalWriter refusals = &statusOnly;
    Tcp::acceptor acceptor;
    gateway::CallerLimits limits;
    bool isClosing = false;
    std::size_t bufferedBytes = 0;
    std::size_t refusedConnections = 0;
    std::set<std::shared_ptr<Connection>> connections;
};

/** One client's connection; requests on it are answered one after the other. */
class Connection : public HttpExchange, public std::enable_shared_from_this<Connection>
{
public:
    Connection(HttpServer::Impl &server, Tcp::socket socket)
        : m_server(server.weak_from_this()),
          m_settings(server.settings),
          m_loop(server.loop),
          m_socket(std::move(socket))
    {
    }

    void start()
    {
        ErrorCode ignored;
        m_socket.set_option(Tcp::no_delay(true), ignored);
        awaitRequest();
    }

    /** Answers a connection for which there is no room. */
    void startRefused()
    {
        m_isOverBound = true;
        refuse(Refused::TooManyConnections);
    }

    /** When it began to wait for a request; never while it has one. */
    absl::Time idleSince() const
    {
        return m_state == State::Idle ? m_idleSince : absl::InfiniteFuture();
    }

    bool isBusy() const
    {
        return m_state != State::Idle && m_state != State::Lingering && m_state != State::Closed;
    }

    bool isOverBound() const
    {
        return m_isOverBound;
    }

    void closeIfIdle()
    {
        if (m_state == State::Idle) {
            close();
        }
    }

    void answer(const gateway::HttpHead &head, const std::string &body) override
    {
        if (m_state != State::Answering) {
            return;
        }
        const bool isLast = closesAfterThis();
        m_unsent += wholeAnswerBytes(head, body, m_version, isLast, m_isHead);
        m_state = State::Finishing;
        m_closesAfterAnswer = isLast;
        write();
    }

    void begin(const gateway::HttpHead &head) override
    {
        if (m_state != State::Answering) {
            return;
        }
        m_closesAfterAnswer = closesAfterThis() || m_version < 11;
        m_unsent += openAnswerBytes(head, m_version, m_closesAfterAnswer);
        write();
    }

    void data(const std::string &data) override
    {
        if (m_state != State::Answering || data.empty()) {
            return;
        }
        m_unsent += m_version < 11 ? data : chunkBytes(data);
        if (m_unsent.size() > m_settings.maxUnsentBytes) {
            clientGone();
            return;
        }
        write();
    }

    void finish() override
    {
        if (m_state != State::Answering) {
            return;
        }
        if (m_version >= 11) {
            m_unsent += lastChunkBytes();
        }
        m_state = State::Finishing;
        write();
    }

    void breakOff() override
    {
        // What was passed on so far is sent; without its end the answer is incomplete.
        m_state = State::Breaking;
        m_onClosed = nullptr;
        if (!m_isWriting) {
            close();
        }
    }

    void onClosed(std::function<void()> callback) override
    {
        m_onClosed = std::move(callback);
    }

private:
    enum class State {
        /** Waits for the first byte of a request. */
        Idle,
        Reading,
        /** A request was handed over and its answer is not complete. */
        Answering,
        /** The answer is complete and is being sent. */
        Finishing,
        /** Sends what it has and closes. */
        Breaking,
        /** The last answer was sent; waits for the client to close. */
        Lingering,
        Closed,
    };

    bool closesAfterThis() const
    {
        const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
        return !m_isKeptAlive || server == nullptr || server->isClosing;
    }

    gateway::CallerLimits limits() const
    {
        const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
        return server == nullptr ? gateway::CallerLimits() : server->limits;
    }

    void awaitRequest()
    {
        m_state = State::Idle;
        m_idleSince = m_loop.timers().now();
        m_parser.reset();
        if (m_buffer.size() > 0) {
            read();
            return;
        }
        m_buffer = beast::flat_buffer();
        m_timer = m_loop.timers().after(limits().idleTimeout, [self = shared_from_this()] { self->close(); });
        awaitReadable();
    }

    void awaitReadable()
    {
        if (m_isAwaiting) {
            return;
        }
        m_isAwaiting = true;
        m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
            self->m_isAwaiting = false;
            self->readable(error);
        });
    }

    void readable(ErrorCode error)
    {
        if (m_state == State::Closed || error == asio::error::operation_aborted) {
            return;
        }
        if (m_state == State::Idle) {
            read();
            return;
        }
        if (m_state == State::Lingering) {
            discard();
            return;
        }
        if (m_state != State::Answering && m_state != State::Finishing) {
            return;
        }
        // While an answer is due, the end of the stream means that the client has left.
        char byte = 0;
        const ssize_t got = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got > 0) {
            return;
        }
        if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
            awaitReadable();
            return;
        }
        clientGone();
    }

    void read()
    {
        m_state = State::Reading;
        const gateway::CallerLimits bounds = limits();
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(bounds.maxHeaderBytes));
        m_parser->body_limit(static_cast<std::uint64_t>(bounds.maxBodyBytes));
        m_timer = m_loop.timers().after(bounds.headerTimeout, [self = shared_from_this()] { self->tooSlow(); });
        http::async_read_header(
            m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) { self->headerRead(error); });
    }

    void headerRead(ErrorCode error)
    {
        if (m_state != State::Reading) {
            return;
        }
        if (error) {
            readFailed(error);
            return;
        }
        if (isLengthAmbiguous(m_parser->get())) {
            refuse(Refused::AmbiguousLength);
            return;
        }
        if (m_parser->get().target().size() > m_settings.maxTargetBytes) {
            refuse(Refused::TargetTooLong);
            return;
        }
        if (m_parser->is_done()) {
            requestRead();
            return;
        }
        if (absl::EqualsIgnoreCase(std::string(m_parser->get()[http::field::expect]), "100-continue")) {
            m_unsent += continueBytes();
            write();
        }
        m_timer = m_loop.timers().after(m_settings.bodyTimeout, [self = shared_from_this()] { self->tooSlow(); });
        readBody();
    }

    void readBody()
    {
        http::async_read_some(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
            if (self->m_state != State::Reading) {
                return;
            }
            if (error) {
                self->readFailed(error);
            } else if (!self->reserveBody()) {
                self->refuse(Refused::TooManyBytes);
            } else if (self->m_parser->is_done()) {
                self->requestRead();
            } else {
                self->readBody();
            }
        });
    }

    /** Counts what has arrived of the body until its answer is complete; false beyond the server's bound. */
    bool reserveBody()
    {
        const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
        const std::size_t size = m_parser->get().body().size();
        if (server == nullptr || size <= m_reserved) {
            return true;
        }
        server->bufferedBytes += size - m_reserved;
        m_reserved = size;
        return server->bufferedBytes <= m_settings.maxBufferedBytes;
    }

    void releaseBody()
    {
        const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
        if (server != nullptr) {
            server->bufferedBytes -= m_reserved;
        }
        m_reserved = 0;
    }

    void readFailed(ErrorCode error)
    {
        const bool isHttpError = error.category() == make_error_code(http::error::bad_method).category();
        if (error == http::error::header_limit) {
            refuse(Refused::HeaderTooLarge);
        } else if (error == http::error::body_limit) {
            refuse(Refused::BodyTooLarge);
        } else if (isLengthError(error)) {
            refuse(Refused::AmbiguousLength);
        } else if (isHttpError && error != http::error::end_of_stream && error != http::error::partial_message) {
            refuse(Refused::Malformed);
        } else {
            close();
        }
    }

    void tooSlow()
    {
        if (m_isWriting) {
            close();
            return;
        }
        // The read that still waits ends without effect.
        m_state = State::Answering;
        ErrorCode ignored;
        m_socket.cancel(ignored);
        refuse(Refused::TooSlow);
    }

    /** Answers in place of the handler; what is left of the request is not read as another one. */
    void refuse(Refused reason)
    {
        const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
        const std::optional<Refusal> refusal = server == nullptr ? std::nullopt : server->refusals(reason);
        if (!refusal.has_value()) {
            close();
            return;
        }
        m_isKeptAlive = false;
        m_state = State::Answering;
        answer(refusal->head, refusal->body);
    }

    void requestRead()
    {
        m_timer.cancel();
        const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
        if (server == nullptr) {
            close();
            return;
        }
        http::request<http::string_body> message = m_parser->release();
        m_parser.reset();
        m_isKeptAlive = message.keep_alive();
        m_version = message.version();
        m_isHead = message.method() == http::verb::head;
        m_closesAfterAnswer = false;
        gateway::HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.headers = passedHeaders(message);
        request.body = std::move(message.body());
        m_state = State::Answering;
        awaitReadable();
        server->handler(std::move(request), shared_from_this());
    }

    void write()
    {
        if (m_isWriting || m_unsent.empty()) {
            return;
        }
        m_isWriting = true;
        m_sending.clear();
        m_sending.swap(m_unsent);
        m_sent = 0;
        writeSome();
    }

    void writeSome()
    {
        if (m_settings.writeTimeout != absl::InfiniteDuration()) {
            m_writeTimer = m_loop.timers().after(m_settings.writeTimeout, [self = shared_from_this()] { self->clientGone(); });
        }
        m_socket.async_write_some(asio::buffer(m_sending.data() + m_sent, m_sending.size() - m_sent),
            [self = shared_from_this()](ErrorCode error, std::size_t bytes) { self->written(error, bytes); });
    }

    void written(ErrorCode error, std::size_t bytes)
    {
        m_writeTimer.cancel();
        if (m_state == State::Closed) {
            return;
        }
        if (error) {
            m_isWriting = false;
            clientGone();
            return;
        }
        m_sent += bytes;
        if (m_sent < m_sending.size()) {
            writeSome();
            return;
        }
        m_isWriting = false;
        if (!m_unsent.empty()) {
            write();
            return;
        }
        m_sending = std::string();
        if (m_state == State::Breaking) {
            close();
        } else if (m_state == State::Finishing) {
            answerSent();
        }
    }

    void answerSent()
    {
        m_onClosed = nullptr;
        releaseBody();
        if (!m_closesAfterAnswer) {
            awaitRequest();
            return;
        }
        // A close with unread bytes would reset the connection and lose the answer.
        m_state = State::Lingering;
        ErrorCode ignored;
        m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
        m_timer = m_loop.timers().after(LINGER_TIME, [self = shared_from_this()] { self->close(); });
        awaitReadable();
    }

    void discard()
    {
        std::array<char, READ_BUFFER_BYTES> bytes{};
        ErrorCode error;
        m_socket.non_blocking(true, error);
        const std::size_t got = m_socket.read_some(asio::buffer(bytes), error);
        if ((error && error != asio::error::would_block) || (got == 0 && !error)) {
            close();
            return;
        }
        awaitReadable();
    }

    void clientGone()
    {
        const std::function<void()> callback = std::exchange(m_onClosed, nullptr);
        close();
        if (callback) {
            callback();
        }
    }

    void close()
    {
        if (m_state == State::Closed) {
            return;
        }
        m_state = State::Closed;
        m_timer.cancel();
        m_writeTimer.cancel();
        releaseBody();
        ErrorCode ignored;
        m_socket.close(ignored);
        const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
        if (server != nullptr) {
            server->refusedConnections -= m_isOverBound ? 1 : 0;
            server->connections.erase(shared_from_this());
        }
    }

    std::weak_ptr<HttpServer::Impl> m_server;
    const HttpServerSettings m_settings;
    EventLoop &m_loop;
    Tcp::socket m_socket;
    State m_state = State::Idle;
    absl::Time m_idleSince;
    /** Bytes of the request's body counted at the server. */
    std::size_t m_reserved = 0;
    bool m_isOverBound = false;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::string m_unsent;
    std::string m_sending;
    std::size_t m_sent = 0;
    bool m_isWriting = false;
    bool m_isAwaiting = false;
    bool m_isKeptAlive = true;
    bool m_closesAfterAnswer = false;
    bool m_isHead = false;
    unsigned m_version = 11;
    std::function<void()> m_onClosed;
    core::Subscription m_timer;
    core::Subscription m_writeTimer;
};

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
    const std::shared_ptr<Connection> connection = *longest;
    connection->closeIfIdle();
    return true;
}

HttpServer::HttpServer(EventLoop &loop, HttpHandler handler, HttpServerSettings settings)
    : m_impl(std::make_shared<Impl>(loop, std::move(handler), settings))
{
}

HttpServer::~HttpServer()
{
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
