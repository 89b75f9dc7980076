#include "snipeferry/net/httpcaller.h"

#include "httpbytes.h"
#include "messagereader.h"
#include "snipeferry/net/httpserver.h"
#include "socketoptions.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace snipeferry::net {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr absl::Duration LOSS_TIMEOUT = absl::Seconds(2);
constexpr std::uint32_t MAX_HEAD_BYTES = 8192;
/** Longest head of a chunk, and longest trailer. */
constexpr std::size_t MAX_PART_BYTES = 8192;

} // namespace

struct HttpCaller::Connection
{
    Connection(asio::io_context &context, std::shared_ptr<ReadMemory> memory)
        : socket(context),
          reader(socket, std::move(memory))
    {
    }

    Tcp::socket socket;
    MessageReader<false> reader;
    std::string bytes;
    bool isConnected = false;
    /** Whether the request has not been written whole. */
    bool isWriting = false;
    bool isWatching = false;
    /** Calls that were sent on it. */
    int callCount = 0;
};

HttpCaller::HttpCaller(EventLoop &loop, std::string address, absl::Duration connectTimeout)
    : m_loop(loop),
      m_address(std::move(address)),
      m_connectTimeout(connectTimeout)
{
}

HttpCaller::~HttpCaller() = default;

void HttpCaller::call(const gateway::HttpRequest &request, absl::Duration timeout, Callback callback)
{
    m_callback = std::move(callback);
    m_bytes = requestBytes(request, m_address);
    m_timer = m_loop.timers().after(timeout, [self = shared_from_this()] { self->fail("no answer in time"); });
    if (m_connection != nullptr) {
        send();
    } else {
        connect();
    }
}

void HttpCaller::connect()
{
    m_connection = std::make_shared<Connection>(m_loop.context(), m_readMemory);
    const std::shared_ptr<Connection> connection = m_connection;
    const core::Expected<std::pair<std::string, int>> parts = splitAddress(m_address);
    ErrorCode error;
    const asio::ip::address ip = parts ? asio::ip::make_address(parts->first, error) : asio::ip::address();
    if (!parts || error) {
        m_loop.post([self = shared_from_this(), connection] {
            if (self->m_connection == connection) {
                self->fail("bad address");
            }
        });
        return;
    }
    if (m_connectTimeout != absl::InfiniteDuration()) {
        m_connectTimer = m_loop.timers().after(m_connectTimeout, [self = shared_from_this(), connection] {
            if (self->m_connection == connection && !connection->isConnected) {
                self->fail("cannot connect in time");
            }
        });
    }
    connection->socket.async_connect(
        Tcp::endpoint(ip, static_cast<unsigned short>(parts->second)), [self = shared_from_this(), connection](ErrorCode connectError) {
            if (self->m_connection != connection) {
                return;
            }
            self->m_connectTimer.cancel();
            if (connectError) {
                self->fail("cannot connect");
                return;
            }
            setLinkOptions(connection->socket, LOSS_TIMEOUT);
            connection->isConnected = true;
            self->send();
        });
}

/** A server that closes an idle connection is seen before the next call, which then opens another one. */
void HttpCaller::watchIdle()
{
    const std::shared_ptr<Connection> connection = m_connection;
    if (connection->isWatching) {
        return;
    }
    connection->isWatching = true;
    connection->socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), connection, callCount = connection->callCount](ErrorCode /*error*/) {
        connection->isWatching = false;
        // Behind another call the bytes are its answer.
        if (self->m_connection == connection && connection->callCount == callCount) {
            self->close();
        }
    });
}

void HttpCaller::send()
{
    const std::shared_ptr<Connection> connection = m_connection;
    connection->bytes = std::exchange(m_bytes, {});
    connection->isWriting = true;
    ++connection->callCount;
    asio::async_write(connection->socket, asio::buffer(connection->bytes), [connection](ErrorCode error, std::size_t /*bytes*/) {
        // A failed write shows in the read that runs beside it.
        connection->isWriting = static_cast<bool>(error);
    });
    MessageReader<false>::Parser &parser = connection->reader.begin(MAX_PART_BYTES);
    parser.header_limit(MAX_HEAD_BYTES);
    parser.body_limit(static_cast<std::uint64_t>(m_maxAnswerBytes));
    connection->reader.readAll([self = shared_from_this(), connection](ErrorCode error) {
        if (self->m_connection == connection) {
            self->answered(connection, error);
        }
    });
}

void HttpCaller::answered(const std::shared_ptr<Connection> &connection, ErrorCode error)
{
    if (error == http::error::body_limit) {
        fail("answer too large", core::ErrorKind::RequestTooLarge);
        return;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        fail(connection->reader.bound() == ReadBound::Process ? "read memory full" : "answer without end");
        return;
    }
    if (error) {
        fail("connection lost");
        return;
    }
    http::response<http::string_body> &message = connection->reader.parser().get();
    CallAnswer answer;
    answer.status = static_cast<int>(message.result_int());
    for (const http::fields::value_type &field : message) {
        answer.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    answer.body = std::move(message.body());
    // A request that the server has not read whole would be read on as the next one.
    const bool isReusable = connection->reader.parser().keep_alive() && connection->reader.bufferedBytes() == 0 && !connection->isWriting;
    connection->reader.endMessage();
    connection->reader.clear();
    if (isReusable) {
        watchIdle();
    } else {
        close();
    }
    finish(answer);
}

void HttpCaller::finish(const core::Expected<CallAnswer> &answer)
{
    m_timer.cancel();
    const Callback callback = std::exchange(m_callback, nullptr);
    if (callback) {
        callback(answer);
    }
}

void HttpCaller::setMaxAnswerBytes(std::size_t bytes)
{
    m_maxAnswerBytes = bytes;
}

void HttpCaller::setReadMemory(std::shared_ptr<ReadMemory> memory)
{
    m_readMemory = std::move(memory);
}

void HttpCaller::fail(const std::string &reason, core::ErrorKind kind)
{
    core::Error error = core::makeError(kind, reason);
    const bool mayHaveSent = m_connection != nullptr && m_connection->isConnected;
    error.ranState = mayHaveSent ? core::RanState::Unknown : core::RanState::NotRun;
    close();
    finish(tl::make_unexpected(error));
}

void HttpCaller::close()
{
    m_connectTimer.cancel();
    const std::shared_ptr<Connection> connection = std::exchange(m_connection, nullptr);
    if (connection != nullptr) {
        connection->reader.stop();
        ErrorCode ignored;
        connection->socket.close(ignored);
    }
}

} // namespace snipeferry::net
