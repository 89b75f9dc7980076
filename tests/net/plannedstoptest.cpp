#include "snipeferry/net/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <sys/socket.h>

using namespace snipeferry;

// Load: callers that connect and send up to the last moment before a planned stop, on new and on kept connections.
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

const std::string REQUEST = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

/** A server that answers each request 20 ms after it has read it. */
struct StopFixture
{
    StopFixture()
        : server(loop, [this](const gateway::HttpRequest & /*request*/, const std::shared_ptr<net::HttpExchange> &exchange) {
              ++requests;
              timers.push_back(loop.timers().after(absl::Milliseconds(20), [exchange] { exchange->answer({200, {}}, "answer"); }));
          })
    {
        const core::Expected<int> listening = server.listen("127.0.0.1:0");
        REQUIRE(listening);
        port = *listening;
    }

    /** A connection that the kernel has accepted, whether or not the server has. */
    std::unique_ptr<Tcp::socket> connect()
    {
        std::unique_ptr<Tcp::socket> socket = std::make_unique<Tcp::socket>(loop.context());
        socket->connect({asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)});
        return socket;
    }

    static void send(Tcp::socket &socket, const std::string &bytes)
    {
        asio::write(socket, asio::buffer(bytes));
    }

    void turn(absl::Duration time)
    {
        loop.resume();
        const core::Subscription limit = loop.timers().after(time, [this] { loop.stop(); });
        loop.run();
    }

    /** Stops as the process does: listening ends, and the loop turns until all that has begun is done. */
    void stop()
    {
        server.closeAfterAnswers();
        server.stop();
        for (int round = 0; round < 100 && !server.isDrained(); ++round) {
            turn(absl::Milliseconds(10));
        }
    }

    /** What the server has sent on a connection so far. */
    static std::string received(Tcp::socket &socket)
    {
        std::string all(65536, '\0');
        const ssize_t count = ::recv(socket.native_handle(), all.data(), all.size(), MSG_DONTWAIT);
        all.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return all;
    }

    net::EventLoop loop;
    net::HttpServer server;
    int port = 0;
    int requests = 0;
    std::vector<core::Subscription> timers;
};

int answersIn(const std::string &text)
{
    int count = 0;
    for (std::size_t at = text.find("200 OK"); at != std::string::npos; at = text.find("200 OK", at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("a request on a connection that was opened just before a planned stop is answered")
{
    StopFixture fixture;
    const std::unique_ptr<Tcp::socket> socket = fixture.connect();
    StopFixture::send(*socket, REQUEST);
    fixture.stop();
    CHECK(fixture.requests == 1);
    CHECK(answersIn(StopFixture::received(*socket)) == 1);
}

TEST_CASE("a request on a kept connection just before a planned stop is answered, and the connection then closes")
{
    StopFixture fixture;
    const std::unique_ptr<Tcp::socket> socket = fixture.connect();
    StopFixture::send(*socket, REQUEST);
    fixture.turn(absl::Milliseconds(100));
    REQUIRE(answersIn(StopFixture::received(*socket)) == 1);
    StopFixture::send(*socket, REQUEST);
    fixture.stop();
    const std::string answer = StopFixture::received(*socket);
    CHECK(answersIn(answer) == 1);
    CHECK(answer.find("Connection: close") != std::string::npos);
}

TEST_CASE("half a request that was sent before a planned stop is waited for and answered")
{
    StopFixture fixture;
    const std::unique_ptr<Tcp::socket> socket = fixture.connect();
    StopFixture::send(*socket, REQUEST.substr(0, 30));
    fixture.turn(absl::Milliseconds(20));
    fixture.server.closeAfterAnswers();
    fixture.server.stop();
    CHECK_FALSE(fixture.server.isDrained());
    StopFixture::send(*socket, REQUEST.substr(30));
    fixture.stop();
    CHECK(answersIn(StopFixture::received(*socket)) == 1);
}

TEST_CASE("a planned stop is not over while an answer is still being written")
{
    StopFixture fixture;
    const std::unique_ptr<Tcp::socket> socket = fixture.connect();
    StopFixture::send(*socket, REQUEST);
    fixture.turn(absl::Milliseconds(5));
    fixture.server.closeAfterAnswers();
    fixture.server.stop();
    CHECK_FALSE(fixture.server.isDrained());
    fixture.stop();
    CHECK(fixture.server.isDrained());
    CHECK(answersIn(StopFixture::received(*socket)) == 1);
}

TEST_CASE("idle connections close at a planned stop")
{
    StopFixture fixture;
    const std::unique_ptr<Tcp::socket> socket = fixture.connect();
    fixture.turn(absl::Milliseconds(20));
    fixture.stop();
    CHECK(fixture.server.connectionCount() == 0);
    CHECK_FALSE(fixture.server.isListening());
}
