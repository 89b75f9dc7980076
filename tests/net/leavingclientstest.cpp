#include "snipeferry/net/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace snipeferry;

// Load: callers that leave early, many within a second, at a process that is behind with its work.
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

const std::string REQUEST = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

/** Ways in which a client leaves. */
enum class Leaving {
    Close,
    Reset,
    HalfClose,
    NextRequestAndClose
};

/** A server whose requests stay open, and which notes whose clients have left. */
struct LeavingFixture
{
    LeavingFixture()
        : server(loop, [this](const gateway::HttpRequest & /*request*/, const std::shared_ptr<net::HttpExchange> &exchange) { take(exchange); })
    {
        const core::Expected<int> listening = server.listen("127.0.0.1:0");
        REQUIRE(listening);
        port = *listening;
    }

    void take(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        ++requests;
        goneAtArrival += exchange->isClientGone() ? 1 : 0;
        exchange->onClosed([this] {
            ++left;
            lastLeftAt = loop.timers().now();
        });
        open.push_back(exchange);
        if (decisionTime > absl::ZeroDuration()) {
            // The time that a slow machine takes for one decision.
            std::this_thread::sleep_for(absl::ToChronoMilliseconds(decisionTime));
        }
    }

    std::unique_ptr<Tcp::socket> connect()
    {
        std::unique_ptr<Tcp::socket> socket = std::make_unique<Tcp::socket>(client);
        socket->connect({asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)});
        return socket;
    }

    std::unique_ptr<Tcp::socket> ask()
    {
        std::unique_ptr<Tcp::socket> socket = connect();
        asio::write(*socket, asio::buffer(REQUEST));
        return socket;
    }

    static void leave(Tcp::socket &socket, Leaving way)
    {
        switch (way) {
        case Leaving::Reset:
            socket.set_option(asio::socket_base::linger(true, 0));
            break;
        case Leaving::HalfClose:
            socket.shutdown(Tcp::socket::shutdown_send);
            return;
        case Leaving::NextRequestAndClose:
            asio::write(socket, asio::buffer(REQUEST));
            break;
        case Leaving::Close:
            break;
        }
        socket.close();
    }

    void turn(absl::Duration time)
    {
        loop.resume();
        const core::Subscription limit = loop.timers().after(time, [this] { loop.stop(); });
        loop.run();
    }

    asio::io_context client;
    net::EventLoop loop;
    net::HttpServer server;
    int port = 0;
    int requests = 0;
    int left = 0;
    int goneAtArrival = 0;
    absl::Time lastLeftAt = absl::InfinitePast();
    absl::Duration decisionTime;
    std::vector<std::shared_ptr<net::HttpExchange>> open;
};

} // namespace

// Failure: the end of a connection is not seen, in one of the ways in which a client may leave, and its work goes on.
TEST_CASE("a client that leaves while its request is in work is noticed, however it leaves")
{
    const Leaving way = GENERATE(Leaving::Close, Leaving::Reset, Leaving::HalfClose, Leaving::NextRequestAndClose);
    CAPTURE(static_cast<int>(way));
    LeavingFixture fixture;
    const std::unique_ptr<Tcp::socket> socket = fixture.ask();
    fixture.turn(absl::Milliseconds(50));
    REQUIRE(fixture.requests == 1);
    CHECK(fixture.left == 0);
    LeavingFixture::leave(*socket, way);
    fixture.turn(absl::Milliseconds(400));
    CHECK(fixture.left == 1);
}

// Failure: the end of a connection behind bytes that came before is not seen.
TEST_CASE("a client is noticed that sends its next request, waits and then leaves")
{
    LeavingFixture fixture;
    const std::unique_ptr<Tcp::socket> socket = fixture.ask();
    fixture.turn(absl::Milliseconds(50));
    asio::write(*socket, asio::buffer(REQUEST));
    fixture.turn(absl::Milliseconds(150));
    CHECK(fixture.left == 0);
    socket->close();
    fixture.turn(absl::Milliseconds(400));
    CHECK(fixture.left == 1);
    CHECK(fixture.requests == 1);
}

// Failure: a request is taken for one whose caller waits though its connection has ended, in the backlog or while the process was busy.
TEST_CASE("at the arrival of a request it is known whether its client has left already")
{
    const Leaving way = GENERATE(Leaving::Close, Leaving::HalfClose, Leaving::NextRequestAndClose);
    CAPTURE(static_cast<int>(way));
    LeavingFixture fixture;
    const std::unique_ptr<Tcp::socket> leaver = fixture.ask();
    LeavingFixture::leave(*leaver, way);
    const std::unique_ptr<Tcp::socket> waiter = fixture.ask();
    fixture.turn(absl::Milliseconds(50));
    CHECK(fixture.requests >= 2);
    CHECK(fixture.goneAtArrival >= 1);
    CHECK(fixture.goneAtArrival == fixture.requests - 1);
}

// Failure: a busy process finds the end of a connection only behind all requests that came before it, and its work goes on meanwhile.
TEST_CASE("a process that is behind by seconds notices a client that leaves within half a second")
{
    LeavingFixture fixture;
    const std::unique_ptr<Tcp::socket> leaver = fixture.ask();
    fixture.turn(absl::Milliseconds(50));
    REQUIRE(fixture.requests == 1);
    constexpr int WAITING = 300;
    std::vector<std::unique_ptr<Tcp::socket>> waiting;
    waiting.reserve(WAITING);
    for (int request = 0; request < WAITING; ++request) {
        waiting.push_back(fixture.connect());
    }
    fixture.turn(absl::Milliseconds(50));
    for (const std::unique_ptr<Tcp::socket> &socket : waiting) {
        asio::write(*socket, asio::buffer(REQUEST));
    }
    fixture.decisionTime = absl::Milliseconds(5);
    leaver->close();
    const absl::Time leftAt = fixture.loop.timers().now();
    fixture.turn(absl::Seconds(2));
    CHECK(fixture.left == 1);
    CHECK(fixture.lastLeftAt - leftAt < absl::Milliseconds(500));
}

// Failure: with a thousand clients that leave within a second some are missed.
TEST_CASE("a thousand clients that leave within a second are all noticed, and no other")
{
    LeavingFixture fixture;
    std::vector<std::unique_ptr<Tcp::socket>> sockets;
    const std::unique_ptr<Tcp::socket> waiter = fixture.ask();
    for (int round = 0; round < 10; ++round) {
        for (int request = 0; request < 40; ++request) {
            sockets.push_back(fixture.ask());
        }
        fixture.turn(absl::Milliseconds(20));
        for (const std::unique_ptr<Tcp::socket> &socket : sockets) {
            socket->close();
        }
        sockets.clear();
        for (int request = 0; request < 60; ++request) {
            sockets.push_back(fixture.ask());
            sockets.back()->close();
        }
        sockets.clear();
        fixture.turn(absl::Milliseconds(20));
    }
    fixture.turn(absl::Milliseconds(300));
    CHECK(fixture.requests == 1001);
    CHECK(fixture.left == 1000);
}

// Failure: a client on a slow link, or one that only stops reading, is taken for gone.
TEST_CASE("a client that reads nothing for a while, or sends its request in small pieces, has not left")
{
    LeavingFixture fixture;
    const std::unique_ptr<Tcp::socket> slow = fixture.connect();
    for (const char byte : REQUEST) {
        asio::write(*slow, asio::buffer(&byte, 1));
        fixture.turn(absl::Milliseconds(2));
    }
    REQUIRE(fixture.requests == 1);
    CHECK(fixture.goneAtArrival == 0);
    fixture.open.front()->begin({200, {}});
    fixture.open.front()->data(std::string(2U << 20U, 'x'));
    fixture.turn(absl::Milliseconds(600));
    CHECK(fixture.left == 0);
    CHECK_FALSE(fixture.open.front()->isClientGone());
}
