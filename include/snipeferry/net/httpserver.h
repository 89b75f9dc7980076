#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/model.h"
#include "snipeferry/net/eventloop.h"
#include "snipeferry/net/readmemory.h"

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace snipeferry::net {

/** Why the server answers a request itself, or closes its connection. */
enum class Refused {
    HeaderTooLarge,
    BodyTooLarge,
    TargetTooLong,
    /** No HTTP request. */
    Malformed,
    /** Two readers could take different bytes for its body. */
    AmbiguousLength,
    /** It did not arrive whole in time. */
    TooSlow,
    /** Bodies of all open requests together pass the bound. */
    TooManyBytes,
    TooManyConnections,
};

/** An answer of the server's own. */
struct Refusal
{
    gateway::HttpHead head;
    std::string body;
};

/** Writes the answer to a request that is refused; without a value the connection is closed. */
using RefusalWriter = std::function<std::optional<Refusal>(Refused reason)>;

/** Bounds of one server beside those of single requests. */
struct HttpServerSettings
{
    static constexpr std::size_t NO_BOUND = std::numeric_limits<std::size_t>::max();

    /** Open connections; beyond them the one that has been idle for longest gives way, or the new one is refused. */
    std::size_t maxConnections = NO_BOUND;
    std::size_t maxTargetBytes = NO_BOUND;
    /** Bytes of unfinished heads and trailers, shared by all connections of the process; null: no bound. */
    std::shared_ptr<ReadMemory> readMemory;
    /** Bodies of all open requests together, until their answers are complete. */
    std::size_t maxBufferedBytes = NO_BOUND;
    /** Bytes of an answer that wait for a slow client; beyond them it is cut off. */
    std::size_t maxUnsentBytes = 4U << 20U;
    /** Time for a request's body when its header has arrived. */
    absl::Duration bodyTimeout = absl::Seconds(15);
    /** Longest time without progress while an answer is written. */
    absl::Duration writeTimeout = absl::InfiniteDuration();
};

/** One request on a connection of HttpServer, and the way to answer it. */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /** @brief Answers with a body of known length. */
    virtual void answer(const gateway::HttpHead &head, const std::string &body) = 0;

    /** @brief Begins an answer of unknown length. */
    virtual void begin(const gateway::HttpHead &head) = 0;
    virtual void data(const std::string &data) = 0;
    virtual void finish() = 0;

    /** @brief Closes the connection, so that the answer cannot look complete. */
    virtual void breakOff() = 0;

    /** @brief Bytes of the answer that were not yet written to the connection. */
    virtual std::size_t unsentBytes() const = 0;

    /** @brief Whether the client has closed its connection or its side of it, also if onClosed() has not been called yet. */
    virtual bool isClientGone() const = 0;

    /** @brief Called once if the client closes its connection before the answer is complete. */
    virtual void onClosed(std::function<void()> callback) = 0;
};

/** Takes requests of an HttpServer; the exchange answers later. */
using HttpHandler = std::function<void(gateway::HttpRequest, std::shared_ptr<HttpExchange>)>;

/** HTTP/1.1 server on the event loop. Idle connections hold no buffers. */
class HttpServer
{
public:
    class Impl;

    HttpServer(EventLoop &loop, HttpHandler handler, HttpServerSettings settings = HttpServerSettings());
    ~HttpServer();

    /** @brief Listens on "a.b.c.d:port"; port 0 lets the kernel choose. @return the port */
    core::Expected<int> listen(const std::string &address);

    /** @brief Replaces the answers to refused requests; without it they carry a status only, and slow ones are closed. */
    void setRefusals(RefusalWriter writer);

    /** @brief Replaces the bounds for requests that begin from now on. */
    void setLimits(const gateway::CallerLimits &limits);

    /** @brief Tells clients with each answer that the connection closes. */
    void closeAfterAnswers();

    /**
     * @brief Takes no new connections and closes those that wait for a request.
     *
     * Connections whose clients have connected or sent something already are served before they close.
     */
    void stop();

    /** @brief Whether every request that has begun to arrive is answered, and each answer sent. */
    bool isDrained() const;

    std::size_t connectionCount() const;

    /** @brief Connections whose request is being read or whose answer is not sent completely. */
    std::size_t busyCount() const;

    /** @brief Whether it listens. */
    bool isListening() const;

private:
    std::shared_ptr<Impl> m_impl;
};

/** @brief Splits "a.b.c.d:port". */
core::Expected<std::pair<std::string, int>> splitAddress(const std::string &address);

/** @brief Whether a header concerns one connection only and is not passed on. */
bool isConnectionHeader(const std::string &name);

} // namespace snipeferry::net
