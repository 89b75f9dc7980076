#include "users/faultproxy.h"

#include "snipeferry/net/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>
#include <stdexcept>
#include <vector>

namespace snipeferry::standins {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t PIECE_BYTES = 16384;
/** How often a direction that is held back looks whether it may go on. */
constexpr absl::Duration HOLD_CHECK = absl::Milliseconds(10);
constexpr absl::Duration FOREIGN_ANSWER_DELAY = absl::Milliseconds(30);
constexpr const char *GARBAGE = "\x16\x03\x01 this is no answer\r\n\r\n";
constexpr const char *FOREIGN_ANSWER = "HTTP/1.1 200 OK\r\nAttempt-Id: somebody-else\r\nServer-Seal: foreign\r\nContent-Length: 7\r\n\r\nforeign";

Tcp::endpoint endpointOf(const std::string &address)
{
    const core::Expected<std::pair<std::string, int>> parts = net::splitAddress(address);
    if (!parts) {
        throw std::runtime_error(parts.error().message);
    }
    return {asio::ip::make_address(parts->first), static_cast<unsigned short>(parts->second)};
}

} // namespace

class ProxiedConnection;

class FaultProxy::Impl : public std::enable_shared_from_this<FaultProxy::Impl>
{
public:
    Impl(net::EventLoop &eventLoop, const std::string &targetAddress, const std::string &listenAddress)
        : loop(eventLoop),
          target(endpointOf(targetAddress)),
          acceptor(eventLoop.context(), endpointOf(listenAddress))
    {
    }

    void accept();

    net::EventLoop &loop;
    Tcp::endpoint target;
    Tcp::acceptor acceptor;
    bool isHeldTowards = false;
    bool isHeldFrom = false;
    bool isRefusing = false;
    absl::Duration delay = absl::ZeroDuration();
    AnswerFault answerFault = AnswerFault::Garbage;
    int answersToHarm = 0;
    std::set<std::shared_ptr<ProxiedConnection>> connections;
};

/** A caller's connection and the one to the target. */
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
    ProxiedConnection(const std::shared_ptr<FaultProxy::Impl> &proxy, Tcp::socket caller)
        : m_proxy(proxy),
          m_loop(proxy->loop),
          m_towards(std::move(caller)),
          m_back(proxy->loop.context())
    {
    }

    void start(const Tcp::endpoint &target)
    {
        m_back.socket.async_connect(target, [self = shared_from_this()](ErrorCode error) {
            if (error) {
                self->close(true);
                return;
            }
            ErrorCode ignored;
            self->m_towards.socket.set_option(Tcp::no_delay(true), ignored);
            self->m_back.socket.set_option(Tcp::no_delay(true), ignored);
            self->read(self->m_towards, self->m_back);
            self->read(self->m_back, self->m_towards);
        });
    }

    void silence()
    {
        m_isSilent = true;
    }

    void close(bool isReset)
    {
        ErrorCode ignored;
        for (Side *side : {&m_towards, &m_back}) {
            if (isReset) {
                side->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            }
            side->socket.close(ignored);
            side->pause.cancel();
        }
        const std::shared_ptr<FaultProxy::Impl> proxy = m_proxy.lock();
        if (proxy != nullptr) {
            proxy->connections.erase(shared_from_this());
        }
    }

private:
    struct Side
    {
        explicit Side(Tcp::socket open)
            : socket(std::move(open))
        {
        }

        explicit Side(asio::io_context &context)
            : socket(context)
        {
        }

        Tcp::socket socket;
        std::array<char, PIECE_BYTES> buffer{};
        std::string piece;
        core::Subscription pause;
    };

    void read(Side &from, Side &to)
    {
        from.socket.async_read_some(asio::buffer(from.buffer), [self = shared_from_this(), &from, &to](ErrorCode error, std::size_t bytes) {
            if (error) {
                // What is held back of the other direction is lost with the connection, as it would be with its sender.
                self->close(error == asio::error::connection_reset);
                return;
            }
            from.piece.assign(from.buffer.data(), bytes);
            const std::shared_ptr<FaultProxy::Impl> proxy = self->m_proxy.lock();
            const absl::Duration delay = proxy == nullptr ? absl::ZeroDuration() : proxy->delay;
            if (delay > absl::ZeroDuration()) {
                from.pause = self->m_loop.timers().after(delay, [self, &from, &to] { self->pass(from, to); });
            } else {
                self->pass(from, to);
            }
        });
    }

    void pass(Side &from, Side &to)
    {
        const std::shared_ptr<FaultProxy::Impl> proxy = m_proxy.lock();
        if (proxy == nullptr) {
            close(true);
            return;
        }
        const bool isAnswer = &from == &m_back;
        if (m_isSilent || (isAnswer ? proxy->isHeldFrom : proxy->isHeldTowards)) {
            from.pause = m_loop.timers().after(HOLD_CHECK, [self = shared_from_this(), &from, &to] { self->pass(from, to); });
            return;
        }
        if (isAnswer && proxy->answersToHarm > 0) {
            --proxy->answersToHarm;
            harm(proxy->answerFault, from, to);
            return;
        }
        asio::async_write(to.socket, asio::buffer(from.piece), [self = shared_from_this(), &from, &to](ErrorCode error, std::size_t /*bytes*/) {
            if (error) {
                self->close(true);
                return;
            }
            self->read(from, to);
        });
    }

    void harm(AnswerFault fault, Side &from, Side &to)
    {
        ErrorCode ignored;
        switch (fault) {
        case AnswerFault::Garbage:
            asio::write(to.socket, asio::buffer(std::string(GARBAGE)), ignored);
            close(false);
            return;
        case AnswerFault::CutShort:
            asio::write(to.socket, asio::buffer(from.piece.substr(0, from.piece.size() - from.piece.size() / 4)), ignored);
            // A reset overtakes bytes that wait, so it comes a little later.
            from.pause = m_loop.timers().after(HOLD_CHECK, [self = shared_from_this()] { self->close(true); });
            return;
        case AnswerFault::ForeignAnswerBehind:
            asio::write(to.socket, asio::buffer(from.piece), ignored);
            from.pause = m_loop.timers().after(FOREIGN_ANSWER_DELAY, [self = shared_from_this(), &from, &to] {
                ErrorCode lost;
                asio::write(to.socket, asio::buffer(std::string(FOREIGN_ANSWER)), lost);
                self->read(from, to);
            });
            return;
        }
    }

    std::weak_ptr<FaultProxy::Impl> m_proxy;
    net::EventLoop &m_loop;
    /** The caller's connection: what is read here goes towards the target. */
    Side m_towards;
    Side m_back;
    bool m_isSilent = false;
};

void FaultProxy::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
        if (error) {
            return;
        }
        const std::shared_ptr<ProxiedConnection> connection = std::make_shared<ProxiedConnection>(self, std::move(socket));
        if (self->isRefusing) {
            connection->close(true);
        } else {
            self->connections.insert(connection);
            connection->start(self->target);
        }
        self->accept();
    });
}

FaultProxy::FaultProxy(net::EventLoop &loop, const std::string &target, const std::string &listenAddress)
    : m_impl(std::make_shared<Impl>(loop, target, listenAddress))
{
    const Tcp::endpoint endpoint = m_impl->acceptor.local_endpoint();
    m_address = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    m_impl->accept();
}

FaultProxy::~FaultProxy()
{
    ErrorCode ignored;
    m_impl->acceptor.close(ignored);
    resetAll();
}

const std::string &FaultProxy::address() const
{
    return m_address;
}

void FaultProxy::hold(bool towardsTarget, bool fromTarget)
{
    m_impl->isHeldTowards = towardsTarget;
    m_impl->isHeldFrom = fromTarget;
}

void FaultProxy::setDelay(absl::Duration delay)
{
    m_impl->delay = delay;
}

void FaultProxy::refuse(bool isRefusing)
{
    m_impl->isRefusing = isRefusing;
}

void FaultProxy::resetAll()
{
    const std::set<std::shared_ptr<ProxiedConnection>> connections = m_impl->connections;
    for (const std::shared_ptr<ProxiedConnection> &connection : connections) {
        connection->close(true);
    }
}

void FaultProxy::silenceAll()
{
    for (const std::shared_ptr<ProxiedConnection> &connection : m_impl->connections) {
        connection->silence();
    }
}

void FaultProxy::harmAnswers(AnswerFault fault, int count)
{
    m_impl->answerFault = fault;
    m_impl->answersToHarm = count;
}

} // namespace snipeferry::standins
