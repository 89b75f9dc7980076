#include "caller.h"

#include "snipeferry/net/httpserver.h"
#include "users/usersmanifest.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace snipeferry::soak {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

/** How long after its time limit a caller still listens, so that a late end is told from none. */
constexpr absl::Duration PATIENCE = absl::Milliseconds(600);

} // namespace

Caller::Caller(net::EventLoop &loop, KeptConnections &kept, RequestSeen request, absl::Duration leaveAfter, std::function<void(const RequestSeen &)> done)
    : m_loop(loop),
      m_kept(kept),
      m_seen(std::move(request)),
      m_leaveAfter(leaveAfter),
      m_done(std::move(done))
{
}

std::string Caller::requestText() const
{
    std::string text = absl::StrCat("POST ", m_seen.path, " HTTP/1.1\r\nHost: ", standins::UsersManifest::HOST, "\r\nAttempt-Id: ", m_seen.attempt,
        "\r\nDeadline-Ms: ", absl::ToInt64Milliseconds(m_seen.timeLimit), "\r\nApi-Key: ", m_seen.key, "\r\nTenant: a-name-of-the-callers\r\n",
        "Hold: 7\r\nKv-From: 127.0.0.1:1/2\r\nContent-Length: ", m_seen.body.size(), "\r\n");
    if (m_seen.events > 0) {
        absl::StrAppend(&text, "Model: m\r\nToken-Counts: ", m_seen.tokens - m_seen.events, ",", m_seen.events, "\r\nPrompt-Prefix: 5c1e07a2:80,",
            m_seen.attempt, ":20\r\n");
    }
    return text + "\r\n" + m_seen.body;
}

void Caller::start(const std::string &gatewayAddress)
{
    m_seen.sentAt = m_loop.timers().now();
    m_text = requestText();
    const bool leavesEarly = m_leaveAfter < m_seen.timeLimit;
    m_timer = m_loop.timers().after(
        leavesEarly ? m_leaveAfter : m_seen.timeLimit + PATIENCE, [self = shared_from_this(), leavesEarly] { self->leave(!leavesEarly); });

    // Use a connection that is open already.
    if (!m_kept.empty()) {
        m_connection = m_kept.back();
        m_kept.pop_back();
        send();
        return;
    }
    m_connection = std::make_shared<CallerConnection>(m_loop.context());
    const core::Expected<std::pair<std::string, int>> parts = net::splitAddress(gatewayAddress);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(parts->first), static_cast<unsigned short>(parts->second));
    m_connection->socket.async_connect(endpoint, [self = shared_from_this()](ErrorCode error) {
        if (error) {
            self->finish(false);
        } else if (!self->m_isDone) {
            self->send();
        }
    });
}

void Caller::send()
{
    asio::async_write(m_connection->socket, asio::buffer(m_text), [self = shared_from_this()](ErrorCode /*error*/, std::size_t /*bytes*/) {
        // A gateway may answer before it has read everything; reading tells.
    });
    readHead();
}

void Caller::readHead()
{
    m_parser.emplace();
    m_parser->body_limit(1U << 20U);
    http::async_read_header(m_connection->socket, m_connection->buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
        if (self->m_isDone) {
            return;
        }
        if (error) {
            self->finish(false);
            return;
        }
        self->m_seen.status = static_cast<int>(self->m_parser->get().result_int());
        self->m_seen.receipt = std::string(self->m_parser->get()["Server-Seal"]);
        self->readBody();
    });
}

void Caller::readBody()
{
    m_seen.answer += m_parser->get().body();
    m_parser->get().body().clear();
    if (m_parser->is_done()) {
        finish(true);
        return;
    }
    http::async_read_some(m_connection->socket, m_connection->buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
        if (self->m_isDone) {
            return;
        }
        if (error) {
            self->m_seen.answer += self->m_parser->get().body();
            self->finish(false);
            return;
        }
        self->readBody();
    });
}

void Caller::finish(bool isComplete)
{
    if (m_isDone) {
        return;
    }
    m_isDone = true;
    m_timer.cancel();
    m_seen.isComplete = isComplete;
    m_seen.endedAt = m_loop.timers().now();
    if (isComplete && m_parser->keep_alive() && m_connection->buffer.size() == 0) {
        m_kept.push_back(m_connection);
    }
    m_connection.reset();
    m_done(m_seen);
}

void Caller::leave(bool isOutOfTime)
{
    m_seen.isOutOfTime = isOutOfTime;
    m_seen.hasLeft = true;
    ErrorCode ignored;
    m_connection->socket.close(ignored);
    finish(false);
}

} // namespace snipeferry::soak
