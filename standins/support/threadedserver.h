#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/http/httpmessage.h"

#include <functional>
#include <memory>
#include <string>

namespace snipeferry::standins {

/** What a streamed body gives next. */
enum class Piece {
    /** The piece was filled; there may be more. */
    More,
    /** The body is whole. */
    End,
    /** The body cannot be completed; the connection is closed. */
    Abort,
};

/** An answer: a whole body, or pieces as they come. */
struct StandinAnswer : http::HttpAnswer
{
    StandinAnswer() = default;
    StandinAnswer(http::HttpAnswer whole); // NOLINT(google-explicit-constructor): every whole answer is one

    /** Set for a streamed body; may block until there is something. */
    std::function<Piece(std::string &piece)> next;
};

/** Tells whether the client that sent a request has closed its end. */
using ClientProbe = std::function<bool()>;

using StandinHandler = std::function<StandinAnswer(const http::HttpRequest &request, const ClientProbe &isClientGone)>;

/** A server for stand-ins: each connection has a thread, on which its handler runs and may block. */
class ThreadedServer
{
public:
    explicit ThreadedServer(StandinHandler handler);
    ~ThreadedServer();

    /** @brief Listens on the loopback address; port 0 lets the kernel choose. @return the address listened on */
    core::Expected<std::string> start(std::uint16_t port);

    /** @brief Accepts no more and joins all threads. */
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::standins
