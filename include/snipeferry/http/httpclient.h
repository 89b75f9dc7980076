#pragma once

#include "snipeferry/http/httpmessage.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

namespace snipeferry::http {

/** One request to another server. */
struct ClientRequest
{
    /** "a.b.c.d:port". */
    std::string address;
    std::string method = "GET";
    std::string path = "/";
    core::Headers headers;
    std::string body;
    absl::Duration connectTimeout = absl::Seconds(2);
    /** Longest silence while the answer is awaited. */
    absl::Duration readTimeout = absl::Seconds(30);
};

/** How a request ended. */
enum class ClientOutcome {
    /** The answer came whole. */
    Whole,
    /** No connection came up: no byte of the request has left. */
    NotConnected,
    /** Anything else; the request may have run. */
    Failed,
};

struct ClientResult
{
    ClientOutcome outcome = ClientOutcome::Failed;
    /** Reason of a failure. */
    std::string reason;
};

/** Where the answer goes; returning false ends the request. Called on the thread of run(). */
struct ClientHandlers
{
    std::function<bool(int status, const core::Headers &headers)> onHead;
    std::function<bool(const char *data, std::size_t size)> onData;
};

/**
 * One request on a connection of its own, which is closed afterwards and never used again.
 */
class HttpClient
{
public:
    explicit HttpClient(ClientRequest request);
    ~HttpClient();

    /** @brief Sends the request and reads the answer; blocks. */
    ClientResult run(const ClientHandlers &handlers);

    /** @brief Ends the request from another thread. */
    void cancel();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/** A whole answer. */
struct ClientAnswer
{
    ClientResult result;
    int status = 0;
    core::Headers headers;
    std::string body;
};

/** @brief Sends a request and collects its answer, up to a number of bytes. */
ClientAnswer fetch(ClientRequest request, std::size_t maxBytes);

} // namespace snipeferry::http
