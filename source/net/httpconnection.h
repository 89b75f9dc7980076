#pragma once

#include "messagereader.h"
#include "snipeferry/net/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

/**
 * What HttpServer consists of: the acceptor with what all connections share, and the connections.
 */
namespace snipeferry::net {

class Connection;

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(EventLoop &eventLoop, HttpHandler requestHandler, HttpServerSettings bounds)
        : loop(eventLoop),
          handler(std::move(requestHandler)),
          settings(std::move(bounds)),
          acceptor(eventLoop.context())
    {
    }

    void accept();
    void acceptWaiting();
    void take(boost::asio::ip::tcp::socket socket);
    bool makeRoom();
    /** Looks for clients that have left, again and again as long as a request is in work. */
    void watchClients();
    /** Finds clients that have left while their requests are in work, also behind unread bytes and before all that waits to be handled. */
    void closeLeft();

    EventLoop &loop;
    HttpHandler handler;
    HttpServerSettings settings;
    RefusalWriter refusals;
    boost::asio::ip::tcp::acceptor acceptor;
    gateway::CallerLimits limits;
    bool isClosing = false;
    std::size_t bufferedBytes = 0;
    std::size_t refusedConnections = 0;
    std::set<std::shared_ptr<Connection>> connections;
    bool isWatchingClients = false;
    core::Subscription closeCheckTimer;
};

/** One client's connection; requests on it are answered one after the other. */
class Connection : public HttpExchange, public std::enable_shared_from_this<Connection>
{
public:
    Connection(HttpServer::Impl &server, boost::asio::ip::tcp::socket socket)
        : m_server(server.weak_from_this()),
          m_settings(server.settings),
          m_loop(server.loop),
          m_socket(std::move(socket)),
          m_reader(m_socket, server.settings.readMemory)
    {
    }

    void start();

    /** Answers a connection for which there is no room. */
    void startRefused();

    /** When it began to wait for a request; never while it has one. */
    absl::Time idleSince() const;

    bool isBusy() const;

    /** Whether the client has sent bytes that were not read yet. */
    bool hasUnreadBytes() const;

    bool isOverBound() const;

    /** Whether a request was handed over and its answer is not complete. */
    bool isAnswering() const;

    int descriptor() const;

    /** Ends the connection and tells whoever works on its request. */
    void clientGone();

    /** Closes the connection if it waits for a request of which nothing has arrived. */
    void closeIfIdle();

    void answer(const gateway::HttpHead &head, const std::string &body) override;

    void begin(const gateway::HttpHead &head) override;

    void data(const std::string &data) override;

    void finish() override;

    void breakOff() override;

    std::size_t unsentBytes() const override;

    bool isClientGone() const override;

    void onClosed(std::function<void()> callback) override;

private:
    enum class State {
        /** Waits for the first byte of a request. */
        Idle,
        Reading,
        /** A request was handed over and its answer is not complete. */
        Answering,
        /** The answer is complete and is being sent. */
        Finishing,
        /** Sends what it has and closes. */
        Breaking,
        /** The last answer was sent; waits for the client to close. */
        Lingering,
        Closed,
    };

    bool closesAfterThis() const;

    gateway::CallerLimits limits() const;

    void awaitRequest();

    void awaitReadable();

    void readable(boost::system::error_code error);

    void read();

    void headerRead(boost::system::error_code error);

    void readBody();

    /** Counts what has arrived of the body until its answer is complete; false beyond the server's bound. */
    bool reserveBody();

    void releaseBody();

    void readFailed(boost::system::error_code error);

    void tooSlow();

    /** Answers in place of the handler; what is left of the request is not read as another one. */
    void refuse(Refused reason);

    void requestRead();

    void write();

    void writeSome();

    void written(boost::system::error_code error, std::size_t bytes);

    void answerSent();

    void discard();

    void close();

    std::weak_ptr<HttpServer::Impl> m_server;
    const HttpServerSettings m_settings;
    EventLoop &m_loop;
    boost::asio::ip::tcp::socket m_socket;
    State m_state = State::Idle;
    absl::Time m_idleSince;
    /** Bytes of the request's body counted at the server. */
    std::size_t m_reserved = 0;
    bool m_isOverBound = false;
    MessageReader<true> m_reader;
    std::string m_unsent;
    std::string m_sending;
    std::size_t m_sent = 0;
    bool m_isWriting = false;
    bool m_isAwaiting = false;
    bool m_isKeptAlive = true;
    bool m_closesAfterAnswer = false;
    bool m_isHead = false;
    unsigned m_version = 11;
    std::function<void()> m_onClosed;
    core::Subscription m_timer;
    core::Subscription m_writeTimer;
};

} // namespace snipeferry::net
