#pragma once

#include "snipeferry/http/callerregistry.h"
#include "snipeferry/supervision/coreloop.h"

#include <memory>
#include <string>

/**
 * The interface for callers.
 */
namespace snipeferry::http {

/** What a server listens on, and the bounds on what its clients can make it hold. */
struct ListenSettings
{
    /** "a.b.c.d:port"; port 0 lets the kernel choose. */
    std::string listenAddress;
    /** Open connections; more are refused with an answer, unless an idle one can give way. */
    std::size_t maxConnections = 512;
    std::size_t maxHeaderBytes = std::size_t{64} << 10;
    std::size_t maxTargetBytes = 4096;
    std::size_t maxBodyBytes = std::size_t{16} << 20;
    /** Bodies of all requests together. */
    std::size_t maxBufferedBytes = std::size_t{256} << 20;
    /** Bytes of one answer that wait for a slow caller. */
    std::size_t slowReaderBytes = std::size_t{4} << 20;
    /** Time for a request to arrive: its header, and as long again its body. */
    absl::Duration requestTimeout = absl::Seconds(20);
    /** Longest time without progress while an answer is written. */
    absl::Duration writeTimeout = absl::Seconds(10);
    absl::Duration keepAliveTimeout = absl::Seconds(5);
};

struct CallerServerSettings
{
    ListenSettings server;
    /** Time to live of the ranking that GET /v1/entries answers. */
    absl::Duration entriesTimeToLive = absl::Seconds(10);
};

/** @brief Makes a server on the event loop that refuses with error answers. */
std::unique_ptr<net::HttpServer> makeServer(net::EventLoop &loop, net::HttpHandler handler, const ListenSettings &settings);

/** @brief Listens. @return the address listened on */
core::Expected<std::string> listenOn(net::HttpServer &server, const std::string &address);

/** Serves callers: reads requests, hands them to the decision parts, and answers what these are asked for. */
class CallerServer
{
public:
    CallerServer(net::EventLoop &loop, CallerServerSettings settings, supervision::CoreLoop &core, CallerRegistry &registry);
    ~CallerServer();

    /** @brief Starts to listen; returns the address listened on. */
    core::Expected<std::string> start();

    /** @brief Stops listening; answers under way are finished by the event loop. */
    void stop();
    bool isRunning() const;

    /** @brief Connections whose answer is not sent completely. */
    std::size_t busyConnections() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::http
