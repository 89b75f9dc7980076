#include "snipeferry/net/backendpool.h"

#include "httpbytes.h"
#include "messagereader.h"
#include "socketoptions.h"
#include "socketstate.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace snipeferry::net {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::uint32_t MAX_ANSWER_HEADER_BYTES = 65536;
/** Longest head of a chunk, and longest trailer. */
constexpr std::size_t MAX_PART_BYTES = 16384;
constexpr std::uint64_t MAX_ANSWER_BODY_BYTES = 256U << 20U;
constexpr absl::Duration IDLE_CHECK_PERIOD = absl::Milliseconds(500);
/** Part of a server's idle timeout for which a connection is used again. */
constexpr double IDLE_TIMEOUT_SHARE = 0.6;
/** Answers to earlier requests that are skipped before the connection is given up. */
constexpr int MAX_SKIPPED_ANSWERS = 3;
/** Interim answers before the real one. */
constexpr int MAX_INTERIM_ANSWERS = 16;
/** Bytes of heads and bodies that belong to no request, before the connection is given up. */
constexpr std::uint64_t MAX_UNUSED_BYTES = 1U << 20U;
constexpr const char *REASON_BAD_ADDRESS = "bad_address";

/** Where a backend server listens; empty if its address cannot be read. */
std::optional<Tcp::endpoint> endpointOf(const gateway::BackendServer &server)
{
    const core::Expected<std::pair<std::string, int>> parts = splitAddress(server.address);
    ErrorCode error;
    const asio::ip::address ip = parts ? asio::ip::make_address(parts->first, error) : asio::ip::address();
    if (!parts || error) {
        return std::nullopt;
    }
    return Tcp::endpoint(ip, static_cast<unsigned short>(parts->second));
}

} // namespace

class BackendConnection;

class BackendPool::Impl : public std::enable_shared_from_this<BackendPool::Impl>
{
public:
    Impl(EventLoop &eventLoop, BackendPoolSettings poolSettings, AnsweredRequest answered)
        : loop(eventLoop),
          settings(std::move(poolSettings)),
          answeredRequest(std::move(answered))
    {
    }

    void dropOldIdle();
    void startOnNewConnection(
        gateway::Number run, const gateway::BackendServer &server, const core::RequestId &id, std::string bytes, bool isHead, absl::Time sendBy);

    EventLoop &loop;
    BackendPoolSettings settings;
    AnsweredRequest answeredRequest;
    gateway::RunEvents *events = nullptr;
    std::map<gateway::Number, std::shared_ptr<BackendConnection>> runs;
    /** Idle connections of each backend server, the one used last at the end. */
    std::map<core::BackendServerId, std::vector<std::shared_ptr<BackendConnection>>> idle;
    std::map<core::BackendServerId, int> open;
    std::uint64_t opened = 0;
    core::Subscription idleTimer;
};

/** Why a connection could not be established. */
const char *connectFailure(ErrorCode error)
{
    // No process listens at the address.
    const bool isRefused = error == asio::error::connection_refused || error == asio::error::connection_reset;
    return isRefused ? gateway::REASON_CONNECT_REFUSED : gateway::REASON_CONNECT_FAILED;
}

/** Why an answer could not be read on; reasonIfEnded if the server has ended the connection. */
const char *failureReason(ErrorCode error, ReadBound bound, const char *reasonIfEnded)
{
    if (error == http::error::header_limit) {
        return gateway::REASON_HEAD_TOO_LARGE;
    }
    if (error == http::error::buffer_overflow) {
        return bound == ReadBound::Part ? gateway::REASON_CHUNK_HEAD_TOO_LARGE : gateway::REASON_READ_MEMORY_FULL;
    }
    const bool isSilent = error == asio::error::timed_out || error == asio::error::host_unreachable || error == asio::error::network_unreachable;
    return isSilent ? gateway::REASON_CONNECTION_SILENT : reasonIfEnded;
}

/** One connection to a backend server. */
class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
    BackendConnection(const std::shared_ptr<BackendPool::Impl> &pool, core::BackendServerId server)
        : m_pool(pool),
          m_loop(pool->loop),
          m_server(std::move(server)),
          m_socket(pool->loop.context()),
          m_reader(m_socket, pool->settings.readMemory)
    {
        ++pool->open[m_server];
    }

    ~BackendConnection()
    {
        const std::shared_ptr<BackendPool::Impl> pool = m_pool.lock();
        if (pool != nullptr) {
            --pool->open[m_server];
        }
    }

    void connect(const Tcp::endpoint &endpoint, gateway::Number run, core::RequestId id, std::string bytes, bool isHead, absl::Time sendBy)
    {
        prepare(run, std::move(id), std::move(bytes), isHead);
        m_sendBy = sendBy;
        const std::shared_ptr<BackendPool::Impl> pool = m_pool.lock();
        m_timer = m_loop.timers().after(pool->settings.connectTimeout, [self = shared_from_this()] { self->connectTimedOut(); });
        m_socket.async_connect(endpoint, [self = shared_from_this()](ErrorCode error) {
            if (self->m_isClosed) {
                return;
            }
            self->m_timer.cancel();
            if (error) {
                self->fail(false, connectFailure(error));
                return;
            }
            const std::shared_ptr<BackendPool::Impl> owner = self->m_pool.lock();
            if (owner != nullptr) {
                setLinkOptions(self->m_socket, owner->settings.lossTimeout);
            }
            if (self->m_loop.timers().now() > self->m_sendBy) {
                self->fail(false, gateway::REASON_SENT_TOO_LATE);
                return;
            }
            self->send();
        });
    }

    void connectTimedOut()
    {
        // A process that is behind with its work runs timers before it hears that a connection was established in time.
        if (!isEstablished(m_socket.native_handle())) {
            fail(false, gateway::REASON_CONNECT_TIMEOUT);
        }
    }

    void reuse(gateway::Number run, core::RequestId id, std::string bytes, bool isHead)
    {
        prepare(run, std::move(id), std::move(bytes), isHead);
        send();
    }

    void setPaused(bool isPaused)
    {
        m_isPaused = isPaused;
        if (!isPaused && m_isReadingHeld) {
            m_isReadingHeld = false;
            readBody();
        }
    }

    bool isUsable(absl::Time now, absl::Duration maxIdle) const
    {
        return !m_isClosed && now - m_idleSince < std::min(maxIdle, m_idleLimit);
    }

    void close()
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        m_timer.cancel();
        m_reader.stop();
        ErrorCode ignored;
        m_socket.close(ignored);
        const std::shared_ptr<BackendPool::Impl> pool = m_pool.lock();
        if (pool == nullptr) {
            return;
        }
        if (m_run != 0) {
            pool->runs.erase(m_run);
            m_run = 0;
        }
        const auto list = pool->idle.find(m_server);
        if (list != pool->idle.end()) {
            list->second.erase(std::remove(list->second.begin(), list->second.end(), shared_from_this()), list->second.end());
        }
    }

private:
    void prepare(gateway::Number run, core::RequestId id, std::string bytes, bool isHead)
    {
        m_run = run;
        m_request = std::move(id);
        m_bytes = std::move(bytes);
        m_isHead = isHead;
        m_isWritten = false;
        m_isPaused = false;
        m_isReadingHeld = false;
        m_skipped = 0;
        m_interims = 0;
        m_unusedBytes = 0;
    }

    void send()
    {
        m_hasSent = true;
        asio::async_write(m_socket, asio::buffer(m_bytes), [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
            // A server may answer and close before it has read everything. If it resets the connection, this gets the error, and the read only sees an end.
            if (!self->m_isClosed && !error) {
                self->m_isWritten = true;
                self->m_bytes = std::string();
            }
        });
        readHead();
    }

    void readHead()
    {
        MessageReader<false>::Parser &parser = m_reader.begin(MAX_PART_BYTES);
        parser.header_limit(MAX_ANSWER_HEADER_BYTES);
        parser.body_limit(MAX_ANSWER_BODY_BYTES);
        parser.skip(m_isHead);
        m_reader.readHead([self = shared_from_this()](ErrorCode error) {
            if (self->m_isClosed) {
                return;
            }
            if (error) {
                self->fail(true, failureReason(error, self->m_reader.bound(), gateway::REASON_NO_ANSWER));
                return;
            }
            self->headRead();
        });
    }

    void headRead()
    {
        const std::shared_ptr<BackendPool::Impl> pool = m_pool.lock();
        if (pool == nullptr) {
            close();
            return;
        }
        const http::response<http::string_body> &message = m_reader.parser().get();
        // An interim answer announces nothing.
        if (message.result_int() >= 100 && message.result_int() < 200) {
            if (++m_interims > MAX_INTERIM_ANSWERS) {
                fail(true, "interim_answers_without_end");
                return;
            }
            readHead();
            return;
        }
        gateway::HttpHead head;
        head.status = static_cast<int>(message.result_int());
        if (!gateway::isAnswerStatus(head.status)) {
            fail(true, gateway::REASON_BAD_STATUS);
            return;
        }
        head.headers = passedHeaders(message);
        readIdleLimit(std::string(message[http::field::keep_alive]));

        // An answer to an earlier request may come where this one's is due.
        const core::RequestId answered = pool->answeredRequest(head);
        // On a connection that served others before, an answer that names no request may be a late copy of another one's.
        if (answered.isEmpty() && m_hasServedOthers && pool->settings.doAnswersNameRequests) {
            fail(true, "answer_without_request_id");
            return;
        }
        m_isSkipping = !answered.isEmpty() && !absl::EqualsIgnoreCase(answered.value(), m_request.value());
        if (m_isSkipping && ++m_skipped > MAX_SKIPPED_ANSWERS) {
            fail(true, "foreign_answers");
            return;
        }
        if (!m_isSkipping) {
            const gateway::Number run = m_run;
            pool->events->runHead(run, head);
            if (m_isClosed || m_run != run) {
                return;
            }
        }
        readBody();
    }

    void readIdleLimit(const std::string &keepAlive)
    {
        for (const absl::string_view part : absl::StrSplit(keepAlive, ',')) {
            const absl::string_view word = absl::StripAsciiWhitespace(part);
            double seconds = 0;
            if (absl::StartsWithIgnoreCase(word, "timeout=") && absl::SimpleAtod(word.substr(8), &seconds)) {
                m_idleLimit = absl::Seconds(seconds * IDLE_TIMEOUT_SHARE);
            }
        }
    }

    void readBody()
    {
        if (!passBody()) {
            return;
        }
        if (m_reader.parser().is_done()) {
            // An end of the connection ends an answer in order only behind a request that was sent whole.
            if (m_reader.parser().need_eof() && !(m_isWritten && hasOtherEndReceivedAll(m_socket.native_handle()))) {
                fail(true, gateway::REASON_ANSWER_BROKEN_OFF);
                return;
            }
            answerRead();
            return;
        }
        if (m_isPaused) {
            m_isReadingHeld = true;
            return;
        }
        m_reader.readSome([self = shared_from_this()](ErrorCode error) {
            if (self->m_isClosed) {
                return;
            }
            if (error) {
                // What came before the break is still the server's.
                if (self->passBody()) {
                    self->fail(true, failureReason(error, self->m_reader.bound(), gateway::REASON_ANSWER_BROKEN_OFF));
                }
                return;
            }
            self->readBody();
        });
    }

    /** Hands new bytes of the body over; false if the run ended by that. */
    bool passBody()
    {
        std::string &body = m_reader.parser().get().body();
        if (body.empty()) {
            return true;
        }
        const std::string data = std::move(body);
        body = std::string();
        const std::shared_ptr<BackendPool::Impl> pool = m_pool.lock();
        if (pool == nullptr) {
            close();
            return false;
        }
        if (m_isSkipping) {
            m_unusedBytes += data.size();
            if (m_unusedBytes > MAX_UNUSED_BYTES) {
                fail(true, "foreign_answers");
                return false;
            }
            return true;
        }
        const gateway::Number run = m_run;
        pool->events->runData(run, data);
        return !m_isClosed && m_run == run;
    }

    void answerRead()
    {
        if (m_isSkipping) {
            readHead();
            return;
        }
        const std::shared_ptr<BackendPool::Impl> pool = m_pool.lock();
        const gateway::Number run = m_run;
        // Bytes behind the answer belong to no request, and a request that was not read whole would be read on later.
        const MessageReader<false>::Parser &parser = m_reader.parser();
        const gateway::AnswerEnd end = parser.need_eof() ? gateway::AnswerEnd::ConnectionClosed : gateway::AnswerEnd::Framed;
        const bool isSpent = !parser.keep_alive() || parser.need_eof() || pool == nullptr || !pool->settings.reusesConnections;
        const bool isReusable = !isSpent && m_isWritten && m_reader.bufferedBytes() == 0;
        m_reader.endMessage();
        if (pool == nullptr) {
            close();
            return;
        }
        pool->runs.erase(run);
        m_run = 0;
        m_hasServedOthers = true;
        if (isReusable) {
            m_reader.clear();
            m_idleSince = m_loop.timers().now();
            pool->idle[m_server].push_back(shared_from_this());
            watchIdle();
        } else {
            close();
        }
        pool->events->runEnd(run, end);
    }

    void watchIdle()
    {
        if (m_isWatching) {
            return;
        }
        m_isWatching = true;
        m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode /*error*/) {
            self->m_isWatching = false;
            // Bytes or an end on an idle connection: nothing that came here can be trusted.
            if (!self->m_isClosed && self->m_run == 0) {
                self->close();
            }
        });
    }

    void fail(bool mayHaveRun, const std::string &reason)
    {
        const std::shared_ptr<BackendPool::Impl> pool = m_pool.lock();
        const gateway::Number run = m_run;
        const bool wasSkipping = m_isSkipping;
        close();
        if (pool != nullptr && run != 0) {
            pool->events->runFailed(run, mayHaveRun || wasSkipping, reason);
        }
    }

    std::weak_ptr<BackendPool::Impl> m_pool;
    EventLoop &m_loop;
    core::BackendServerId m_server;
    Tcp::socket m_socket;
    MessageReader<false> m_reader;
    gateway::Number m_run = 0;
    core::RequestId m_request;
    std::string m_bytes;
    /** Time after which the request is not sent on a new connection. */
    absl::Time m_sendBy = absl::InfiniteFuture();
    bool m_hasSent = false;
    bool m_isWritten = false;
    bool m_isHead = false;
    bool m_isSkipping = false;
    bool m_isWatching = false;
    bool m_isClosed = false;
    /** Whether an answer to another request was read on this connection before. */
    bool m_hasServedOthers = false;
    /** Whether the answer is not read on for now. */
    bool m_isPaused = false;
    /** Whether a read is due as soon as the answer is read on. */
    bool m_isReadingHeld = false;
    int m_skipped = 0;
    int m_interims = 0;
    /** Bytes of bodies that belong to no request, since the request was sent. */
    std::uint64_t m_unusedBytes = 0;
    absl::Time m_idleSince = absl::InfinitePast();
    absl::Duration m_idleLimit = absl::Seconds(5);
    core::Subscription m_timer;
};

/** A connection that is only established and closed. */
class PathCheck : public std::enable_shared_from_this<PathCheck>
{
public:
    PathCheck(const std::shared_ptr<BackendPool::Impl> &pool, gateway::Number run)
        : m_pool(pool),
          m_run(run),
          m_socket(pool->loop.context())
    {
    }

    void connect(const Tcp::endpoint &endpoint)
    {
        const std::shared_ptr<BackendPool::Impl> pool = m_pool.lock();
        m_timer = pool->loop.timers().after(pool->settings.connectTimeout,
            [self = shared_from_this()] { self->end(isEstablished(self->m_socket.native_handle()) ? std::string() : gateway::REASON_CONNECT_TIMEOUT); });
        m_socket.async_connect(endpoint, [self = shared_from_this()](ErrorCode error) { self->end(error ? connectFailure(error) : std::string()); });
    }

private:
    /** @param failure empty if the connection was established */
    void end(const std::string &failure)
    {
        if (m_hasEnded) {
            return;
        }
        m_hasEnded = true;
        // The timer's callback may be the one that runs.
        const std::shared_ptr<PathCheck> self = shared_from_this();
        m_timer.cancel();
        ErrorCode ignored;
        m_socket.close(ignored);
        const std::shared_ptr<BackendPool::Impl> pool = m_pool.lock();
        if (pool == nullptr) {
            return;
        }
        if (failure.empty()) {
            pool->events->runEnd(m_run, gateway::AnswerEnd::ConnectionClosed);
        } else {
            pool->events->runFailed(m_run, false, failure);
        }
    }

    std::weak_ptr<BackendPool::Impl> m_pool;
    gateway::Number m_run;
    Tcp::socket m_socket;
    core::Subscription m_timer;
    bool m_hasEnded = false;
};

void BackendPool::Impl::dropOldIdle()
{
    const absl::Time now = loop.timers().now();
    std::vector<std::shared_ptr<BackendConnection>> old;
    for (const auto &entry : idle) {
        for (const std::shared_ptr<BackendConnection> &connection : entry.second) {
            if (!connection->isUsable(now, settings.maxIdle)) {
                old.push_back(connection);
            }
        }
    }
    for (const std::shared_ptr<BackendConnection> &connection : old) {
        connection->close();
    }
}

void BackendPool::Impl::startOnNewConnection(
    gateway::Number run, const gateway::BackendServer &server, const core::RequestId &id, std::string bytes, bool isHead, absl::Time sendBy)
{
    // Failures are told later, never from within this call.
    const std::optional<Tcp::endpoint> endpoint = endpointOf(server);
    const bool isFull = open[server.id] >= settings.maxConnectionsPerServer;
    if (!endpoint.has_value() || isFull) {
        const std::string reason = isFull ? "too_many_connections" : REASON_BAD_ADDRESS;
        asio::post(loop.context(), [impl = shared_from_this(), run, reason] { impl->events->runFailed(run, false, reason); });
        return;
    }
    ++opened;
    const std::shared_ptr<BackendConnection> connection = std::make_shared<BackendConnection>(shared_from_this(), server.id);
    runs[run] = connection;
    connection->connect(*endpoint, run, id, std::move(bytes), isHead, sendBy);
}

BackendPool::BackendPool(EventLoop &loop, BackendPoolSettings settings, AnsweredRequest answeredRequest)
    : m_impl(std::make_shared<Impl>(loop, std::move(settings), std::move(answeredRequest)))
{
    m_impl->idleTimer = loop.timers().every(IDLE_CHECK_PERIOD, [impl = m_impl.get()] { impl->dropOldIdle(); });
}

BackendPool::~BackendPool() = default;

void BackendPool::setEvents(gateway::RunEvents &events)
{
    m_impl->events = &events;
}

std::uint64_t BackendPool::openedCount() const
{
    return m_impl->opened;
}

void BackendPool::start(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request, const core::RequestId &id,
    bool mayReuseConnection, absl::Time sendBy)
{
    std::string bytes = requestBytes(request, server.address);
    const bool isHead = request.method == "HEAD";

    // Use the connection again that was used last.
    const absl::Time now = m_impl->loop.timers().now();
    const absl::Duration maxIdle = mayReuseConnection ? m_impl->settings.maxIdle : m_impl->settings.maxIdleUnrepeatable;
    std::vector<std::shared_ptr<BackendConnection>> &idle = m_impl->idle[server.id];
    if (!idle.empty() && idle.back()->isUsable(now, maxIdle)) {
        const std::shared_ptr<BackendConnection> connection = idle.back();
        idle.pop_back();
        m_impl->runs[run] = connection;
        connection->reuse(run, id, std::move(bytes), isHead);
        return;
    }

    m_impl->startOnNewConnection(run, server, id, std::move(bytes), isHead, sendBy);
}

void BackendPool::askState(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request)
{
    m_impl->startOnNewConnection(run, server, core::RequestId(), requestBytes(request, server.address), false, absl::InfiniteFuture());
}

void BackendPool::checkPath(gateway::Number run, const gateway::BackendServer &server)
{
    const std::optional<Tcp::endpoint> endpoint = endpointOf(server);
    if (!endpoint.has_value()) {
        asio::post(m_impl->loop.context(), [impl = m_impl, run] { impl->events->runFailed(run, false, REASON_BAD_ADDRESS); });
        return;
    }
    ++m_impl->opened;
    std::make_shared<PathCheck>(m_impl, run)->connect(*endpoint);
}

void BackendPool::setPaused(gateway::Number run, bool isPaused)
{
    const auto it = m_impl->runs.find(run);
    if (it != m_impl->runs.end()) {
        const std::shared_ptr<BackendConnection> connection = it->second;
        connection->setPaused(isPaused);
    }
}

void BackendPool::cancel(gateway::Number run)
{
    const auto it = m_impl->runs.find(run);
    if (it != m_impl->runs.end()) {
        const std::shared_ptr<BackendConnection> connection = it->second;
        connection->close();
    }
}

} // namespace snipeferry::net
