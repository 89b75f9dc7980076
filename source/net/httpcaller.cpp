#include "httpcaller.h"

#include "httpbytes.h"
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

} // namespace

HttpCaller::HttpCaller(EventLoop &loop, std::string address, absl::Duration connectTimeout)
    : m_loop(loop),
      m_address(std::move(address)),
      m_connectTimeout(connectTimeout)
{
}

void HttpCaller::call(const gateway::HttpRequest &request, absl::Duration timeout, Callback callback)
{
    m_callback = std::move(callback);
    m_bytes = requestBytes(request, m_address);
    const std::uint64_t generation = ++m_generation;
    m_timer = m_loop.timers().after(timeout, [self = shared_from_this(), generation] {
        if (self->m_generation == generation) {
            self->fail("no answer in time");
        }
    });
    if (m_isConnected) {
        send();
    } else {
        connect();
    }
}

void HttpCaller::connect()
{
    const std::uint64_t generation = m_generation;
    const core::Expected<std::pair<std::string, int>> parts = splitAddress(m_address);
    ErrorCode error;
    const asio::ip::address ip = parts ? asio::ip::make_address(parts->first, error) : asio::ip::address();
    if (!parts || error) {
        m_loop.post([self = shared_from_this()] { self->fail("bad address"); });
        return;
    }
    if (m_connectTimeout != absl::InfiniteDuration()) {
        m_connectTimer = m_loop.timers().after(m_connectTimeout, [self = shared_from_this(), generation] {
            if (self->m_generation == generation && !self->m_isConnected) {
                self->fail("cannot connect in time");
            }
        });
    }
    m_socket.emplace(m_loop.context());
    m_socket->async_connect(Tcp::endpoint(ip, static_cast<unsigned short>(parts->second)), [self = shared_from_this(), generation](ErrorCode connectError) {
        if (self->m_generation != generation) {
            return;
        }
        self->m_connectTimer.cancel();
        if (connectError) {
            self->fail("cannot connect");
            return;
        }
        setLinkOptions(*self->m_socket, LOSS_TIMEOUT);
        self->m_isConnected = true;
        self->send();
    });
}

/** A server that closes an idle connection is seen before the next call, which then opens another one. */
void HttpCaller::watchIdle()
{
    if (m_isWatching || !m_isConnected) {
        return;
    }
    m_isWatching = true;
    const std::uint64_t generation = m_generation;
    m_socket->async_wait(Tcp::socket::wait_read, [self = shared_from_this(), generation](ErrorCode /*error*/) {
        self->m_isWatching = false;
        if (self->m_generation == generation) {
            self->close();
        }
    });
}

void HttpCaller::send()
{
    const std::uint64_t generation = m_generation;
    asio::async_write(*m_socket, asio::buffer(m_bytes), [self = shared_from_this()](ErrorCode /*error*/, std::size_t /*bytes*/) {
        // A failed write shows in the read that runs beside it.
    });
    m_parser.emplace();
    m_parser->body_limit(static_cast<std::uint64_t>(m_maxAnswerBytes));
    http::async_read(*m_socket, m_buffer, *m_parser, [self = shared_from_this(), generation](ErrorCode error, std::size_t /*bytes*/) {
        if (self->m_generation != generation) {
            return;
        }
        if (error == http::error::body_limit) {
            self->fail("answer too large", core::ErrorKind::RequestTooLarge);
            return;
        }
        if (error) {
            self->fail("connection lost");
            return;
        }
        CallAnswer answer;
        answer.status = static_cast<int>(self->m_parser->get().result_int());
        for (const auto &field : self->m_parser->get()) {
            answer.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        answer.body = std::move(self->m_parser->get().body());
        if (!self->m_parser->keep_alive() || self->m_buffer.size() > 0) {
            self->close();
        }
        self->m_parser.reset();
        self->m_buffer = boost::beast::flat_buffer();
        self->watchIdle();
        self->finish(answer);
    });
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

void HttpCaller::fail(const std::string &reason, core::ErrorKind kind)
{
    core::Error error = core::makeError(kind, reason);
    error.ranState = m_isConnected ? core::RanState::Unknown : core::RanState::NotRun;
    close();
    finish(tl::make_unexpected(error));
}

void HttpCaller::close()
{
    ++m_generation;
    m_isConnected = false;
    m_connectTimer.cancel();
    m_buffer = boost::beast::flat_buffer();
    if (m_socket.has_value()) {
        ErrorCode ignored;
        m_socket->close(ignored);
    }
}

} // namespace snipeferry::net
