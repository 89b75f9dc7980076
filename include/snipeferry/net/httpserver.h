#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/model.h"
#include "snipeferry/net/eventloop.h"

#include <functional>
#include <memory>
#include <string>

namespace snipeferry::net {

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

    HttpServer(EventLoop &loop, HttpHandler handler);
    ~HttpServer();

    /** @brief Listens on "a.b.c.d:port"; port 0 lets the kernel choose. @return the port */
    core::Expected<int> listen(const std::string &address);

    /** @brief Replaces the bounds for requests that begin from now on. */
    void setLimits(const gateway::CallerLimits &limits);

    /** @brief Tells clients with each answer that the connection closes. */
    void closeAfterAnswers();

    /** @brief Closes connections that wait for a request, and takes no new ones. */
    void stop();

    std::size_t connectionCount() const;

private:
    std::shared_ptr<Impl> m_impl;
};

/** @brief Splits "a.b.c.d:port". */
core::Expected<std::pair<std::string, int>> splitAddress(const std::string &address);

/** @brief Whether a header concerns one connection only and is not passed on. */
bool isConnectionHeader(const std::string &name);

} // namespace snipeferry::net
