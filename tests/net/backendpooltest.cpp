#include "snipeferry/net/backendpool.h"

#include "scriptedserver.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

/** What one run reported. */
class Recorder : public gateway::RunEvents
{
public:
    explicit Recorder(net::EventLoop &loop)
        : m_loop(loop)
    {
    }

    void runHead(gateway::Number /*run*/, const gateway::HttpHead &head) override
    {
        statuses.push_back(head.status);
    }

    void runData(gateway::Number /*run*/, const std::string &data) override
    {
        body += data;
    }

    void runEnd(gateway::Number /*run*/, gateway::AnswerEnd end) override
    {
        lastEnd = end;
        ++ends;
        m_loop.stop();
    }

    void runFailed(gateway::Number /*run*/, bool mayHaveRunNow, const std::string &reasonNow) override
    {
        ++failures;
        mayHaveRun = mayHaveRunNow;
        reason = reasonNow;
        m_loop.stop();
    }

    std::vector<int> statuses;
    std::string body;
    int ends = 0;
    gateway::AnswerEnd lastEnd = gateway::AnswerEnd::Framed;
    int failures = 0;
    std::string reason;
    bool mayHaveRun = false;

private:
    net::EventLoop &m_loop;
};

struct PoolFixture
{
    explicit PoolFixture(ScriptedServer::Script script)
        : server(loop, std::move(script)),
          pool(loop, settings(memory), [](const gateway::HttpHead &head) {
              for (const gateway::Header &header : head.headers) {
                  if (header.name == "Id") {
                      return core::RequestId(header.value);
                  }
              }
              return core::RequestId();
          })
    {
        pool.setEvents(recorder);
    }

    static net::BackendPoolSettings settings(const std::shared_ptr<net::ReadMemory> &memory)
    {
        net::BackendPoolSettings settings;
        settings.doAnswersNameRequests = true;
        settings.readMemory = memory;
        return settings;
    }

    /** Sends one request and runs the loop until it has ended. */
    void send(const std::string &id, bool mayReuse = true)
    {
        gateway::BackendServer target;
        target.id = core::BackendServerId("s");
        target.address = address.empty() ? server.address() : address;
        pool.start(++run, target, {method, "/x", {}, method == "POST" ? upload : ""}, core::RequestId(id), mayReuse, sendBy);
        turn(absl::Seconds(5));
    }

    /** Runs the loop until a run has ended, or for some time. */
    void turn(absl::Duration time)
    {
        loop.resume();
        const core::Subscription limit = loop.timers().after(time, [this] { loop.stop(); });
        loop.run();
    }

    net::EventLoop loop;
    std::shared_ptr<net::ReadMemory> memory = std::make_shared<net::ReadMemory>(std::size_t{1} << 20U);
    Recorder recorder{loop};
    std::string address;
    std::string method = "POST";
    std::string upload = "body";
    absl::Time sendBy = absl::InfiniteFuture();
    ScriptedServer server;
    net::BackendPool pool;
    gateway::Number run = 0;
};

std::string whole(const std::string &id, const std::string &body, const std::string &headers = "")
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nId: ", id, "\r\n", headers, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

} // namespace

TEST_CASE("connections are used again after a whole answer")
{
    PoolFixture fixture([](int request, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, whole(absl::StrCat("r", request), "answer"));
    });
    fixture.send("r1");
    fixture.send("r2");
    CHECK(fixture.recorder.ends == 2);
    CHECK(fixture.recorder.body == "answeranswer");
    CHECK(fixture.server.connections == 1);
}

TEST_CASE("an answer to an earlier request belongs to nobody")
{
    PoolFixture fixture([](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, whole("r0", "foreign") + whole("r1", "own"));
    });
    fixture.send("r1");
    CHECK(fixture.recorder.ends == 1);
    CHECK(fixture.recorder.body == "own");
}

TEST_CASE("bytes behind an answer end the connection")
{
    PoolFixture fixture([](int request, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, whole(absl::StrCat("r", request), "own") + whole("r1", "again"));
    });
    fixture.send("r1");
    fixture.send("r1");
    CHECK(fixture.recorder.body == "ownown");
    CHECK(fixture.server.connections == 2);
}

TEST_CASE("an answer that breaks off is no answer, whatever its framing")
{
    const std::string bytes = GENERATE(std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), std::string("HTTP/1.1 200"), std::string("no answer at all\r\n\r\n"),
        std::string());
    PoolFixture fixture([bytes](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, bytes);
        boost::system::error_code ignored;
        socket->shutdown(ScriptedServer::Socket::shutdown_both, ignored);
    });
    fixture.send("r1");
    CHECK(fixture.recorder.ends == 0);
    CHECK(fixture.recorder.failures == 1);
    CHECK(fixture.recorder.mayHaveRun);
}

TEST_CASE("an answer without a length ends with its connection, and a reset is no end")
{
    const bool isReset = GENERATE(true, false);
    PoolFixture fixture([isReset](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it");
        boost::system::error_code ignored;
        if (isReset) {
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        } else {
            socket->shutdown(ScriptedServer::Socket::shutdown_send, ignored);
        }
    });
    fixture.send("r1");
    CHECK(fixture.recorder.ends == (isReset ? 0 : 1));
    CHECK(fixture.recorder.failures == (isReset ? 1 : 0));
}

// Guards against a process that has fallen behind and sends to a cold backend server at once what it decided at an even pace (FAILBACK).
TEST_CASE("a request whose connection is established too late is not sent")
{
    int requests = 0;
    PoolFixture fixture([&requests](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> & /*socket*/, const std::string & /*read*/) { ++requests; });
    fixture.sendBy = fixture.loop.timers().now() + absl::Milliseconds(20);
    fixture.loop.post([] { absl::SleepFor(absl::Milliseconds(60)); });
    fixture.send("r1");
    CHECK(requests == 0);
    CHECK(fixture.recorder.failures == 1);
    CHECK_FALSE(fixture.recorder.mayHaveRun);
    CHECK(fixture.recorder.reason == gateway::REASON_SENT_TOO_LATE);
}

TEST_CASE("a server that cannot be reached has certainly not run the request")
{
    PoolFixture fixture([](int, const std::shared_ptr<ScriptedServer::Socket> &, const std::string &) {});
    fixture.address = "127.0.0.1:1";
    fixture.send("r1");
    CHECK(fixture.recorder.failures == 1);
    CHECK_FALSE(fixture.recorder.mayHaveRun);
}

TEST_CASE("a check tells whether a process accepts connections, and sends nothing")
{
    int requests = 0;
    PoolFixture fixture([&requests](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> & /*socket*/, const std::string & /*read*/) { ++requests; });
    gateway::BackendServer target;
    target.id = core::BackendServerId("s");
    target.address = fixture.server.address();
    fixture.pool.checkPath(++fixture.run, target);
    fixture.turn(absl::Seconds(5));
    CHECK(fixture.recorder.ends == 1);
    CHECK(requests == 0);
    target.address = "127.0.0.1:1";
    fixture.pool.checkPath(++fixture.run, target);
    fixture.turn(absl::Seconds(5));
    CHECK(fixture.recorder.failures == 1);
    CHECK(fixture.recorder.reason == gateway::REASON_CONNECT_REFUSED);
}

TEST_CASE("a question for a server's state gets a connection of its own and its answer, which names no request")
{
    std::string question;
    PoolFixture fixture([&question](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string &read) {
        question = read;
        const bool isQuestion = absl::StartsWith(read, "GET ");
        ScriptedServer::send(socket, isQuestion ? "HTTP/1.1 200 OK\r\nCold: 5\r\nContent-Length: 0\r\n\r\n" : whole("r1", "answer"));
    });
    fixture.send("r1");
    gateway::BackendServer target;
    target.id = core::BackendServerId("s");
    target.address = fixture.server.address();
    fixture.pool.askState(++fixture.run, target, {"GET", "/health", {}, ""});
    fixture.turn(absl::Seconds(5));
    CHECK(absl::StartsWith(question, "GET /health HTTP/1.1\r\n"));
    CHECK(fixture.recorder.statuses == std::vector<int>{200, 200});
    CHECK(fixture.recorder.failures == 0);
    CHECK(fixture.server.connections == 2);
}

TEST_CASE("a cancelled run closes its connection at once and reports nothing more")
{
    PoolFixture fixture([](int, const std::shared_ptr<ScriptedServer::Socket> &, const std::string &) {});
    fixture.loop.timers();
    const core::Subscription cancel = fixture.loop.timers().after(absl::Milliseconds(50), [&] { fixture.pool.cancel(1); });
    const core::Subscription stop = fixture.loop.timers().after(absl::Milliseconds(150), [&] { fixture.loop.stop(); });
    fixture.send("r1");
    CHECK(fixture.server.closed == 1);
    CHECK(fixture.recorder.failures + fixture.recorder.ends == 0);
}

TEST_CASE("a connection that a server closed while idle is not used again")
{
    PoolFixture fixture([](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, whole("", "answer"));
        boost::system::error_code ignored;
        socket->shutdown(ScriptedServer::Socket::shutdown_send, ignored);
    });
    fixture.send("r1");
    fixture.turn(absl::Milliseconds(100));
    fixture.send("r2");
    CHECK(fixture.recorder.ends == 2);
    CHECK(fixture.server.connections == 2);
}

// A server may send a copy of an answer late, where the answer to the next request on the connection is due.
TEST_CASE("a late copy of an answer on a connection that is in use again is no answer to the next request")
{
    const std::string first = whole("r1", "first");
    const std::string unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string copy = std::vector<std::string>{first, unnamed, whole("R1", "first")}[GENERATE(0U, 1U, 2U)];
    const bool isSplit = GENERATE(false, true);
    // The copy arrives when the next request has been sent, so that the connection does not look spent before.
    PoolFixture fixture([copy, first, isSplit](int request, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        if (request == 1) {
            ScriptedServer::send(socket, first);
            return;
        }
        ScriptedServer::send(socket, copy.substr(0, isSplit ? 20 : copy.size()));
        ScriptedServer::send(socket, isSplit ? copy.substr(20) : std::string());
        ScriptedServer::send(socket, whole("r2", "second"));
    });
    fixture.send("r1");
    fixture.recorder.body.clear();
    fixture.send("r2");
    CHECK(fixture.server.connections == 1);
    // Either the copy is told apart and skipped, or the connection is given up; another request's answer is never passed on.
    const bool isNamed = copy != unnamed;
    CHECK(fixture.recorder.body == (isNamed ? "second" : ""));
    CHECK(fixture.recorder.failures == (isNamed ? 0 : 1));
    CHECK(fixture.recorder.mayHaveRun == !isNamed);
}

// Guards against "not run, try again" for a request that runs, because a server wrote an earlier refusal once more (REFUSED, TWICE).
TEST_CASE("an earlier refusal that a server writes once more is no answer to the running request")
{
    const std::string identifier = GENERATE("Id: r1\r\n", "Id: r0\r\n", "");
    const std::string refusal = "HTTP/1.1 503 Busy\r\n" + std::string(identifier) + "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
    const bool isInOnePacket = GENERATE(false, true);
    PoolFixture fixture([refusal, isInOnePacket](int request, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        if (request == 1) {
            ScriptedServer::send(socket, "HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull");
            return;
        }
        if (isInOnePacket) {
            ScriptedServer::send(socket, refusal + whole("r2", "second"));
            return;
        }
        ScriptedServer::send(socket, refusal);
        ScriptedServer::send(socket, whole("r2", "second"));
    });
    fixture.send("r1");
    REQUIRE(fixture.recorder.statuses == std::vector<int>{503});
    fixture.recorder.body.clear();
    fixture.send("r2");
    CHECK(fixture.server.connections == 1);
    // It is told apart by its identifier; without one the connection is given up, and the request may have run.
    const bool isNamed = !identifier.empty();
    CHECK(std::count(fixture.recorder.statuses.begin(), fixture.recorder.statuses.end(), 503) == 1);
    CHECK(fixture.recorder.body == (isNamed ? "second" : ""));
    CHECK(fixture.recorder.mayHaveRun == !isNamed);
}

TEST_CASE("a copy behind an answer that ends by close reaches nobody")
{
    PoolFixture fixture([](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, "HTTP/1.1 200 OK\r\nId: r1\r\nConnection: close\r\nContent-Length: 3\r\n\r\nown" + whole("r1", "own"));
        boost::system::error_code ignored;
        socket->shutdown(ScriptedServer::Socket::shutdown_send, ignored);
    });
    fixture.send("r1");
    CHECK(fixture.recorder.body == "own");
    fixture.recorder.body.clear();
    fixture.send("r1");
    CHECK(fixture.recorder.body == "own");
    CHECK(fixture.server.connections == 2);
}

TEST_CASE("an identifier in another case is the request's own")
{
    PoolFixture fixture([](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, whole("R1A", "own"));
    });
    fixture.send("r1a");
    CHECK(fixture.recorder.body == "own");
}

TEST_CASE("the end of an answer tells whether its length was known")
{
    const bool hasLength = GENERATE(true, false);
    PoolFixture fixture([hasLength](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, hasLength ? whole("r1", "x") : "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nx");
        boost::system::error_code ignored;
        socket->shutdown(ScriptedServer::Socket::shutdown_send, ignored);
    });
    fixture.send("r1");
    CHECK(fixture.recorder.ends == 1);
    CHECK(fixture.recorder.lastEnd == (hasLength ? gateway::AnswerEnd::Framed : gateway::AnswerEnd::ConnectionClosed));
}

namespace {

/** Writes the same bytes again and again until the client closes. */
void sendWithoutEnd(const std::shared_ptr<ScriptedServer::Socket> &socket, const std::shared_ptr<std::string> &bytes, const std::shared_ptr<std::size_t> &sent)
{
    boost::asio::async_write(*socket, boost::asio::buffer(*bytes), [socket, bytes, sent](boost::system::error_code error, std::size_t count) {
        *sent += count;
        if (!error && *sent < (64U << 20U)) {
            sendWithoutEnd(socket, bytes, sent);
        }
    });
}

} // namespace

TEST_CASE("heads, interim answers and foreign answers without end are given up, and the connection is closed")
{
    const std::pair<std::string, std::string> bytes = std::vector<std::pair<std::string, std::string>>{
        {"HTTP/1.1 200 OK\r\nFiller: ", std::string(4096, 'x')},
        {"", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"", whole("r0", std::string(2000, 'x'))},
        {"HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 99999999\r\n\r\n", std::string(60000, 'x')},
    }[GENERATE(0U, 1U, 2U, 3U)];
    const std::string start = bytes.first;
    const std::string again = bytes.second;
    const std::shared_ptr<std::size_t> sent = std::make_shared<std::size_t>(0);
    PoolFixture fixture([start, again, sent](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, start);
        sendWithoutEnd(socket, std::make_shared<std::string>(again), sent);
    });
    fixture.send("r1");
    CHECK(fixture.recorder.failures == 1);
    CHECK(fixture.recorder.mayHaveRun);
    CHECK(fixture.recorder.body.empty());
    fixture.turn(absl::Milliseconds(200));
    CHECK(*sent < (32U << 20U));
}

TEST_CASE("a paused run makes its server wait, and reading goes on afterwards")
{
    const std::shared_ptr<std::size_t> sent = std::make_shared<std::size_t>(0);
    PoolFixture fixture([sent](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 16777216\r\n\r\n");
        sendWithoutEnd(socket, std::make_shared<std::string>(16384, 'x'), sent);
    });
    const core::Subscription pause = fixture.loop.timers().after(absl::Milliseconds(1), [&] { fixture.pool.setPaused(1, true); });
    const core::Subscription stop = fixture.loop.timers().after(absl::Milliseconds(400), [&] { fixture.loop.stop(); });
    fixture.send("r1");
    const std::size_t whilePaused = fixture.recorder.body.size();
    fixture.turn(absl::Milliseconds(200));
    CHECK(fixture.recorder.body.size() == whilePaused);
    CHECK(whilePaused < (16U << 20U));
    fixture.pool.setPaused(1, false);
    fixture.turn(absl::Seconds(5));
    CHECK(fixture.recorder.body.size() == (16U << 20U));
    CHECK(fixture.recorder.ends == 1);
}

namespace {

/** How a server ends its connection. */
void endConnection(const std::shared_ptr<ScriptedServer::Socket> &socket, bool isReset)
{
    boost::system::error_code ignored;
    if (isReset) {
        socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    socket->close(ignored);
}

struct CutAnswer
{
    std::string head;
    std::string body;
    /** Whether the end of the connection is the end of the answer. */
    bool endsWithConnection = false;
};

std::vector<CutAnswer> cutAnswers(const std::string &id)
{
    const std::string start = absl::StrCat("HTTP/1.1 200 OK\r\nId: ", id, "\r\nServer-Seal: x\r\n");
    const std::string stream = absl::StrCat(start, "Content-Type: text/event-stream\r\n");
    return {{start + "Content-Length: 4\r\n\r\n", "body", false}, {start + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n", false},
        {start + "\r\n", "body", true}, {stream + "Transfer-Encoding: chunked\r\n\r\n", "b\r\ndata: abc\n\n\r\n0\r\n\r\n", false},
        {stream + "\r\n", "data: abc\n\n", true}};
}

} // namespace

// Failure: an answer whose head a backend server did not finish reaches the caller as a 200 with an empty body, framed as whole (MIXED, ORDER).
TEST_CASE("an answer that is cut within its head is no answer, at whichever byte, connection and framing")
{
    const std::size_t kind = GENERATE(as<std::size_t>(), 0, 1, 2, 3, 4);
    const std::string method = GENERATE(as<std::string>(), "POST", "GET", "HEAD");
    const bool isReset = GENERATE(false, true);
    const bool isKeptConnection = GENERATE(false, true);
    const bool hasInterimHead = GENERATE(false, true);
    const std::string id = isKeptConnection ? "r2" : "r1";
    const CutAnswer answer = cutAnswers(id)[kind];
    const std::string interim = hasInterimHead ? "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" : "";
    const std::string bytes = interim + answer.head;
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        PoolFixture fixture([&](int request, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
            if (isKeptConnection && request == 1) {
                ScriptedServer::send(socket, whole("r1", "first"));
                return;
            }
            ScriptedServer::send(socket, bytes.substr(0, cut));
            endConnection(socket, isReset);
        });
        if (isKeptConnection) {
            fixture.send("r1");
        }
        const int before = fixture.recorder.ends;
        fixture.method = method;
        fixture.send(id);
        INFO(method << ", kind " << kind << ", cut at byte " << cut << " of " << bytes.size());
        CHECK(fixture.recorder.failures == 1);
        CHECK(fixture.recorder.mayHaveRun);
        CHECK(fixture.recorder.ends == before);
        CHECK(fixture.recorder.statuses.size() == static_cast<std::size_t>(before));
    }
}

// Failure: a cut behind the head passes for the end of an answer that has a length or chunks, or a reset for that of one without.
TEST_CASE("an answer that is cut within its body is whole only if it ends with its connection, and that was closed")
{
    const std::size_t kind = GENERATE(as<std::size_t>(), 0, 1, 2, 3, 4);
    const bool isReset = GENERATE(false, true);
    const CutAnswer answer = cutAnswers("r1")[kind];
    for (std::size_t cut = 0; cut < answer.body.size(); ++cut) {
        PoolFixture fixture([&](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
            ScriptedServer::send(socket, answer.head + answer.body.substr(0, cut));
            endConnection(socket, isReset);
        });
        fixture.send("r1");
        INFO("kind " << kind << ", cut at byte " << cut << " of the body");
        const bool isEnd = answer.endsWithConnection && !isReset;
        CHECK(fixture.recorder.ends == (isEnd ? 1 : 0));
        CHECK(fixture.recorder.failures == (isEnd ? 0 : 1));
        if (isEnd) {
            CHECK(fixture.recorder.lastEnd == gateway::AnswerEnd::ConnectionClosed);
        }
    }
}

// Failure: a server answers a long upload before it has read it, without a length, and resets the connection. The write gets the error of the reset, the
// read sees an end, and part of an answer passes for the whole.
TEST_CASE("an answer without a length to a request that was not written whole is broken off, however its connection ends")
{
    constexpr std::size_t UPLOAD_BYTES = 32U << 20U;
    constexpr std::size_t READ_BYTES = 1U << 20U;
    const bool isReset = GENERATE(true, false);
    const bool isKeptConnection = GENERATE(false, true);
    // Whether the head and part of the body are read some time before the connection ends.
    const bool isEarly = GENERATE(false, true);
    const std::string headers = GENERATE(std::string("Server-Seal: x\r\n"), std::string(), std::string("Content-Type: text/event-stream\r\n"));
    bool hasEnded = false;
    PoolFixture fixture([&](int request, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string &read) {
        const std::string part = absl::StrCat("HTTP/1.1 200 OK\r\nId: r2\r\n", headers, "\r\ndata: part\n\n");
        if (isKeptConnection && request == 1) {
            ScriptedServer::send(socket, whole("r1", ""));
            return;
        }
        const bool isFirst = request == (isKeptConnection ? 2 : 1);
        if (isFirst && isEarly) {
            ScriptedServer::send(socket, part);
        }
        if (hasEnded || (isEarly && read.size() < READ_BYTES)) {
            return;
        }
        hasEnded = true;
        if (!isEarly) {
            ScriptedServer::send(socket, part);
        }
        if (isReset) {
            endConnection(socket, true);
        } else {
            boost::system::error_code ignored;
            socket->shutdown(ScriptedServer::Socket::shutdown_send, ignored);
        }
    });
    if (isKeptConnection) {
        fixture.send("r1");
    }
    const int before = fixture.recorder.ends;
    fixture.upload = std::string(UPLOAD_BYTES, 'x');
    fixture.send("r2");
    INFO("reset " << isReset << ", kept connection " << isKeptConnection << ", early " << isEarly << ", headers " << headers);
    CHECK(fixture.server.connections == 1);
    CHECK(fixture.recorder.ends == before);
    CHECK(fixture.recorder.failures == 1);
    CHECK(fixture.recorder.mayHaveRun);
}

// Failure: the request fits into the buffers of the kernel, so its write has ended, but the server closed its side before it had received all of it.
TEST_CASE("an answer without a length is broken off if the server has closed before it received the whole request")
{
    constexpr int RECEIVE_BYTES = 4096;
    constexpr std::size_t UPLOAD_BYTES = 1U << 20U;
    net::EventLoop loop;
    boost::asio::ip::tcp::acceptor acceptor(loop.context());
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), 0);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(RECEIVE_BYTES));
    acceptor.bind(endpoint);
    acceptor.listen();
    std::shared_ptr<ScriptedServer::Socket> accepted;
    PoolFixture fixture([](int, const std::shared_ptr<ScriptedServer::Socket> &, const std::string &) {});
    fixture.address = absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port());
    const core::Subscription answering = fixture.loop.timers().after(absl::Milliseconds(100), [&] {
        accepted = std::make_shared<ScriptedServer::Socket>(acceptor.accept());
        ScriptedServer::send(accepted, "HTTP/1.1 200 OK\r\nId: r1\r\n\r\npart");
        boost::system::error_code ignored;
        accepted->shutdown(ScriptedServer::Socket::shutdown_send, ignored);
    });
    fixture.upload = std::string(UPLOAD_BYTES, 'x');
    fixture.send("r1");
    CHECK(fixture.recorder.body == "part");
    CHECK(fixture.recorder.ends == 0);
    CHECK(fixture.recorder.failures == 1);
    CHECK(fixture.recorder.mayHaveRun);
}

// Failure: a status that is no status of HTTP reaches the caller.
TEST_CASE("an answer whose status is outside 100 to 599 is no answer, on a new and on a kept connection")
{
    const std::string status = GENERATE(std::string("000"), std::string("001"), std::string("099"), std::string("600"), std::string("999"));
    const bool isKeptConnection = GENERATE(false, true);
    const std::string rest = GENERATE(std::string("Content-Length: 4\r\n\r\nbody"), std::string("\r\nbody"));
    PoolFixture fixture([&](int request, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        if (isKeptConnection && request == 1) {
            ScriptedServer::send(socket, whole("r1", ""));
            return;
        }
        ScriptedServer::send(socket, absl::StrCat("HTTP/1.1 ", status, " Odd\r\nId: r2\r\n", rest));
        endConnection(socket, false);
    });
    if (isKeptConnection) {
        fixture.send("r1");
    }
    const std::size_t before = fixture.recorder.statuses.size();
    fixture.send("r2");
    INFO("status " << status << ", kept connection " << isKeptConnection);
    CHECK(fixture.recorder.statuses.size() == before);
    CHECK(fixture.recorder.body.empty());
    CHECK(fixture.recorder.failures == 1);
    CHECK(fixture.recorder.reason == "answer_status_invalid");
    CHECK(fixture.recorder.mayHaveRun);
}

// Failure (LOST): a server that never ended the head of a chunk, or a trailer, filled the memory of the process that had called it.
TEST_CASE("bytes without end where the head of a chunk or a trailer is due end the run as a broken answer")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string begun = GENERATE("40;", "40", "5\r\nhello\r\n5;x=", "0;", "5\r\nhello\r\n0\r\nX: ");
    const std::shared_ptr<std::size_t> sent = std::make_shared<std::size_t>(0);
    PoolFixture fixture([&](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        ScriptedServer::send(socket, head + begun);
        sendWithoutEnd(socket, std::make_shared<std::string>(4096, 'a'), sent);
    });
    fixture.send("r1");
    CHECK(fixture.recorder.failures == 1);
    CHECK(fixture.recorder.mayHaveRun);
    CHECK(fixture.recorder.ends == 0);
    fixture.turn(absl::Milliseconds(200));
    CHECK(*sent < (32U << 20U));
    CHECK(fixture.memory->bytes() == 0);
}

// Failure (LOST): a bound that cuts sound answers.
TEST_CASE("heads of chunks and trailers up to the bound are read, in one piece and in many")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string extension = ";x=" + std::string(16000, 'a');
    const std::string trailer = "X: " + std::string(16000, 'a') + "\r\n";
    const std::string answer = absl::StrCat(head, "5", extension, "\r\nhello\r\n1", extension, "\r\n!\r\n0\r\n", trailer, "\r\n");
    const std::size_t piece = GENERATE(std::size_t{1} << 20U, std::size_t{1000}, std::size_t{37});
    PoolFixture fixture([&](int /*request*/, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string & /*read*/) {
        for (std::size_t at = 0; at < answer.size(); at += piece) {
            ScriptedServer::send(socket, answer.substr(at, piece));
        }
    });
    fixture.send("r1");
    CHECK(fixture.recorder.ends == 1);
    CHECK(fixture.recorder.body == "hello!");
    CHECK(fixture.memory->bytes() == 0);
}
