#include "httpconnection.h"

#include "httpbytes.h"
#include "socketstate.h"

#include <absl/strings/match.h>
#include <boost/asio/ip/tcp.hpp>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace snipeferry::net {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/** After the last answer the client gets this long to read it before the socket closes. */
constexpr absl::Duration LINGER_TIME = absl::Seconds(1);
constexpr std::size_t READ_BUFFER_BYTES = 8192;

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

void Connection::start()
{
    ErrorCode ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    awaitRequest();
}

void Connection::startRefused()
{
    m_isOverBound = true;
    refuse(Refused::TooManyConnections);
}

absl::Time Connection::idleSince() const
{
    return m_state == State::Idle ? m_idleSince : absl::InfiniteFuture();
}

bool Connection::isBusy() const
{
    return m_state != State::Idle && m_state != State::Lingering && m_state != State::Closed;
}

bool Connection::isOverBound() const
{
    return m_isOverBound;
}

bool Connection::isAnswering() const
{
    return m_state == State::Answering;
}

int Connection::descriptor() const
{
    return const_cast<Tcp::socket &>(m_socket).native_handle();
}

bool Connection::hasUnreadBytes() const
{
    if (m_state != State::Idle) {
        return false;
    }
    char byte = 0;
    return ::recv(descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void Connection::closeIfIdle()
{
    if (m_state == State::Idle && !hasUnreadBytes()) {
        close();
    }
}

void Connection::answer(const gateway::HttpHead &head, const std::string &body)
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

void Connection::begin(const gateway::HttpHead &head)
{
    if (m_state != State::Answering) {
        return;
    }
    m_closesAfterAnswer = closesAfterThis() || m_version < 11;
    m_unsent += openAnswerBytes(head, m_version, m_closesAfterAnswer);
    write();
}

void Connection::data(const std::string &data)
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

void Connection::finish()
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

void Connection::breakOff()
{
    // What was passed on so far is sent; without its end the answer is incomplete.
    m_state = State::Breaking;
    m_onClosed = nullptr;
    if (!m_isWriting) {
        close();
    }
}

std::size_t Connection::unsentBytes() const
{
    return m_unsent.size() + m_sending.size() - m_sent;
}

bool Connection::isClientGone() const
{
    return m_state == State::Closed || hasOtherEndClosed(descriptor());
}

void Connection::onClosed(std::function<void()> callback)
{
    m_onClosed = std::move(callback);
}

bool Connection::closesAfterThis() const
{
    const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
    return !m_isKeptAlive || server == nullptr || server->isClosing;
}

gateway::CallerLimits Connection::limits() const
{
    const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
    return server == nullptr ? gateway::CallerLimits() : server->limits;
}

void Connection::awaitRequest()
{
    m_state = State::Idle;
    m_idleSince = m_loop.timers().now();
    m_reader.endMessage();
    if (m_reader.bufferedBytes() > 0) {
        read();
        return;
    }
    m_reader.clear();
    m_timer = m_loop.timers().after(limits().idleTimeout, [self = shared_from_this()] { self->close(); });
    awaitReadable();
}

void Connection::awaitReadable()
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

void Connection::readable(ErrorCode error)
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

void Connection::read()
{
    m_state = State::Reading;
    const gateway::CallerLimits bounds = limits();
    // A trailer is held to the same limit as the header.
    MessageReader<true>::Parser &parser = m_reader.begin(static_cast<std::size_t>(bounds.maxHeaderBytes));
    parser.header_limit(static_cast<std::uint32_t>(bounds.maxHeaderBytes));
    parser.body_limit(static_cast<std::uint64_t>(bounds.maxBodyBytes));
    m_timer = m_loop.timers().after(bounds.headerTimeout, [self = shared_from_this()] { self->tooSlow(); });
    m_reader.readHead([self = shared_from_this()](ErrorCode error) { self->headerRead(error); });
}

void Connection::headerRead(ErrorCode error)
{
    if (m_state != State::Reading) {
        return;
    }
    if (error) {
        readFailed(error);
        return;
    }
    if (isLengthAmbiguous(m_reader.parser().get())) {
        refuse(Refused::AmbiguousLength);
        return;
    }
    if (m_reader.parser().get().target().size() > m_settings.maxTargetBytes) {
        refuse(Refused::TargetTooLong);
        return;
    }
    if (m_reader.parser().is_done()) {
        requestRead();
        return;
    }
    if (absl::EqualsIgnoreCase(std::string(m_reader.parser().get()[http::field::expect]), "100-continue")) {
        m_unsent += continueBytes();
        write();
    }
    m_timer = m_loop.timers().after(m_settings.bodyTimeout, [self = shared_from_this()] { self->tooSlow(); });
    readBody();
}

void Connection::readBody()
{
    m_reader.readSome([self = shared_from_this()](ErrorCode error) {
        if (self->m_state != State::Reading) {
            return;
        }
        if (error) {
            self->readFailed(error);
        } else if (!self->reserveBody()) {
            self->refuse(Refused::TooManyBytes);
        } else if (self->m_reader.parser().is_done()) {
            self->requestRead();
        } else {
            self->readBody();
        }
    });
}

bool Connection::reserveBody()
{
    const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
    const std::size_t size = m_reader.parser().get().body().size();
    if (server == nullptr || size <= m_reserved) {
        return true;
    }
    server->bufferedBytes += size - m_reserved;
    m_reserved = size;
    return server->bufferedBytes <= m_settings.maxBufferedBytes;
}

void Connection::releaseBody()
{
    const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
    if (server != nullptr) {
        server->bufferedBytes -= m_reserved;
    }
    m_reserved = 0;
}

void Connection::readFailed(ErrorCode error)
{
    const bool isHttpError = error.category() == make_error_code(http::error::bad_method).category();
    if (error == http::error::header_limit || (error == http::error::buffer_overflow && m_reader.bound() == ReadBound::Part)) {
        refuse(Refused::HeaderTooLarge);
    } else if (error == http::error::buffer_overflow) {
        refuse(Refused::TooManyBytes);
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

void Connection::tooSlow()
{
    if (m_isWriting) {
        close();
        return;
    }
    // The read that still waits ends without effect.
    m_reader.stop();
    m_state = State::Answering;
    ErrorCode ignored;
    m_socket.cancel(ignored);
    refuse(Refused::TooSlow);
}

void Connection::refuse(Refused reason)
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

void Connection::requestRead()
{
    m_timer.cancel();
    const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
    if (server == nullptr) {
        close();
        return;
    }
    http::request<http::string_body> message = m_reader.parser().release();
    m_reader.endMessage();
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
    if (m_state == State::Answering) {
        server->watchClients();
    }
}

void Connection::write()
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

void Connection::writeSome()
{
    if (m_settings.writeTimeout != absl::InfiniteDuration()) {
        m_writeTimer = m_loop.timers().after(m_settings.writeTimeout, [self = shared_from_this()] { self->clientGone(); });
    }
    m_socket.async_write_some(asio::buffer(m_sending.data() + m_sent, m_sending.size() - m_sent),
        [self = shared_from_this()](ErrorCode error, std::size_t bytes) { self->written(error, bytes); });
}

void Connection::written(ErrorCode error, std::size_t bytes)
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
    m_sent = 0;
    if (m_state == State::Breaking) {
        close();
    } else if (m_state == State::Finishing) {
        answerSent();
    }
}

void Connection::answerSent()
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

void Connection::discard()
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

void Connection::clientGone()
{
    const std::function<void()> callback = std::exchange(m_onClosed, nullptr);
    close();
    if (callback) {
        callback();
    }
}

void Connection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    m_timer.cancel();
    m_writeTimer.cancel();
    m_reader.stop();
    releaseBody();
    ErrorCode ignored;
    m_socket.close(ignored);
    const std::shared_ptr<HttpServer::Impl> server = m_server.lock();
    if (server != nullptr) {
        server->refusedConnections -= m_isOverBound ? 1 : 0;
        server->connections.erase(shared_from_this());
    }
}

} // namespace snipeferry::net
