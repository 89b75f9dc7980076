#pragma once

#include "history.h"
#include "snipeferry/net/eventloop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeferry::soak {

/** A caller's open connection. */
struct CallerConnection
{
    explicit CallerConnection(boost::asio::io_context &context)
        : socket(context)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

/** Connections to one gateway that are kept open between requests, as long as the process behind them lets them. */
using KeptConnections = std::vector<std::shared_ptr<CallerConnection>>;

/** Sends one request and notes what comes back, byte by byte, until the answer, the connection or the caller's time ends. */
class Caller : public std::enable_shared_from_this<Caller>
{
public:
    /**
     * @param kept connections to the gateway; the caller takes one and gives it back; must outlive the caller
     * @param leaveAfter time after which the caller leaves on purpose; infinite for never
     * @param done called once, with the finished record
     */
    Caller(net::EventLoop &loop, KeptConnections &kept, RequestSeen request, absl::Duration leaveAfter, std::function<void(const RequestSeen &)> done);

    /** @param gatewayAddress "a.b.c.d:port" */
    void start(const std::string &gatewayAddress);

private:
    void send();
    void readHead();
    void readBody();
    void finish(bool isComplete);
    void leave(bool isOutOfTime);
    std::string requestText() const;

    net::EventLoop &m_loop;
    KeptConnections &m_kept;
    RequestSeen m_seen;
    absl::Duration m_leaveAfter;
    std::function<void(const RequestSeen &)> m_done;
    std::shared_ptr<CallerConnection> m_connection;
    std::string m_text;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    core::Subscription m_timer;
    bool m_isDone = false;
};

} // namespace snipeferry::soak
