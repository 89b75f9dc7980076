#include "snipeferry/net/httpcaller.h"

#include "scriptedserver.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <optional>

using namespace snipeferry;
using namespace snipeferry::tests;

// Load: a server whose answer goes on arriving while its call is given up, so that a read of it has always been completed and not yet handled.
namespace {

const std::string CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Sends filler as fast as the client reads it, until the client closes. */
void sendWithoutEnd(const std::shared_ptr<ScriptedServer::Socket> &socket, const std::shared_ptr<std::string> &filler)
{
    boost::asio::async_write(*socket, boost::asio::buffer(*filler), [socket, filler](boost::system::error_code error, std::size_t /*count*/) {
        if (!error) {
            sendWithoutEnd(socket, filler);
        }
    });
}

std::string wholeAnswer(const std::string &body, const std::string &headers = "")
{
    return absl::StrCat("HTTP/1.1 200 OK\r\n", headers, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

struct CallerFixture
{
    explicit CallerFixture(ScriptedServer::Script script)
        : server(loop, std::move(script)),
          caller(std::make_shared<net::HttpCaller>(loop, server.address()))
    {
        caller->setReadMemory(memory);
    }

    void call(absl::Duration timeout, net::HttpCaller::Callback callback, const std::string &body = "")
    {
        caller->call({"POST", "/x", {}, body}, timeout, std::move(callback));
    }

    /** Makes a call and returns its answer. */
    std::optional<core::Expected<net::CallAnswer>> answerTo(absl::Duration timeout, const std::string &body = "")
    {
        std::optional<core::Expected<net::CallAnswer>> result;
        call(
            timeout,
            [&](const core::Expected<net::CallAnswer> &answer) {
                result = answer;
                loop.stop();
            },
            body);
        turn(absl::Seconds(5));
        return result;
    }

    void turn(absl::Duration time)
    {
        loop.resume();
        const core::Subscription limit = loop.timers().after(time, [this] { loop.stop(); });
        loop.run();
    }

    net::EventLoop loop;
    std::shared_ptr<net::ReadMemory> memory = std::make_shared<net::ReadMemory>(std::size_t{1} << 20U);
    ScriptedServer server;
    std::shared_ptr<net::HttpCaller> caller;
};

} // namespace

// Failure (FAULT): a read of a call that was given up went on with the buffer, the parser and the socket of the next call, and the process crashed.
TEST_CASE("a call that is given up while its answer arrives leaves the next call on the same object alone")
{
    const std::string begun = GENERATE(
        as<std::string>(), "HTTP/1.1 200 OK\r\n\r\n", CHUNKED + "fffffff\r\n", CHUNKED + "1\r\na\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n");
    const std::string filler = begun == CHUNKED + "1\r\na\r\n" ? "1\r\na\r\n" : "a";
    // The calls say which they are: one that is given up early may never be read by the server.
    const std::string next = "next";
    CallerFixture fixture([&](int request, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string &read) {
        const std::size_t named = read.find(next);
        if (named != std::string::npos) {
            ScriptedServer::send(socket, wholeAnswer(absl::StrCat("answer ", read.substr(named + next.size()))));
            return;
        }
        if (request > 1) {
            return;
        }
        std::string bytes;
        while (bytes.size() < 60000) {
            bytes += filler;
        }
        ScriptedServer::send(socket, begun);
        sendWithoutEnd(socket, std::make_shared<std::string>(std::move(bytes)));
    });
    for (int round = 1; round <= 10; ++round) {
        bool isGivenUp = false;
        std::string body;
        fixture.call(absl::Milliseconds(3 + round), [&](const core::Expected<net::CallAnswer> &answer) {
            isGivenUp = !answer;
            // The next call follows in the same turn of the loop.
            fixture.call(
                absl::Seconds(3),
                [&](const core::Expected<net::CallAnswer> &nextAnswer) {
                    body = nextAnswer ? nextAnswer->body : nextAnswer.error().message;
                    fixture.loop.stop();
                },
                absl::StrCat(next, round));
        });
        fixture.turn(absl::Seconds(5));
        CHECK(isGivenUp);
        CHECK(body == absl::StrCat("answer ", round));
        fixture.caller->close();
    }
    CHECK(fixture.memory->bytes() == 0);
}

// Failure (FAULT): the limit passed between the arrival of bytes and their handling; what had arrived was parsed as the next call's answer.
TEST_CASE("bytes that have arrived when a call is closed are not the next call's")
{
    CallerFixture fixture([&](int request, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        static_cast<void>(request);
        ScriptedServer::send(socket, wholeAnswer("of the earlier call"));
    });
    for (int round = 0; round < 20; ++round) {
        int answers = 0;
        fixture.call(absl::Seconds(2), [&](const core::Expected<net::CallAnswer> & /*answer*/) { ++answers; });
        // At different points of the call.
        for (int turn = 0; turn < round; ++turn) {
            fixture.loop.context().poll_one();
        }
        fixture.caller->close();
        const int answersBefore = answers;
        const std::optional<core::Expected<net::CallAnswer>> answer = fixture.answerTo(absl::Seconds(2));
        REQUIRE(answer.has_value());
        CHECK(answer->has_value());
        CHECK(answers == answersBefore);
        fixture.caller->close();
    }
}

// Failure (LOST): a store that never ended the head of a chunk or a trailer took the memory of the process.
TEST_CASE("an answer to a call whose head, chunk head or trailer does not end fails the call within its bound")
{
    const std::string begun = GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nX: ", CHUNKED + "5;", CHUNKED + "1\r\na\r\n0\r\nX: ");
    CallerFixture fixture([&](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, begun);
        sendWithoutEnd(socket, std::make_shared<std::string>(4096, 'a'));
    });
    const absl::Time start = fixture.loop.timers().now();
    const std::optional<core::Expected<net::CallAnswer>> answer = fixture.answerTo(absl::Seconds(4));
    REQUIRE(answer.has_value());
    CHECK_FALSE(answer->has_value());
    CHECK(answer->error().message == "answer without end");
    CHECK(answer->error().ranState == core::RanState::Unknown);
    CHECK(fixture.loop.timers().now() - start < absl::Seconds(3));
    CHECK(fixture.memory->bytes() == 0);
}

// Failure (FAULT): a store that answers before it has read a call whole got the bytes of the next one in their place.
TEST_CASE("a connection on which a call was not written whole serves no other call")
{
    CallerFixture fixture([](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string &read) {
        if (read.size() < 5000) {
            ScriptedServer::send(socket, wholeAnswer("early"));
        }
    });
    const std::string large(std::size_t{32} << 20U, 'x');
    const std::optional<core::Expected<net::CallAnswer>> first = fixture.answerTo(absl::Seconds(4), large);
    REQUIRE(first.has_value());
    REQUIRE(first->has_value());
    CHECK((*first)->body == "early");
    const std::optional<core::Expected<net::CallAnswer>> second = fixture.answerTo(absl::Seconds(4));
    REQUIRE(second.has_value());
    REQUIRE(second->has_value());
    CHECK((*second)->body == "early");
    CHECK(fixture.server.connections == 2);
}
