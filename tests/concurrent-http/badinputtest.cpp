#include "gatewayfixture.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <memory>
#include <thread>

using namespace snipeferry;
using tests::GatewayFixture;
using tests::RawConnection;

namespace {

constexpr absl::Duration PATIENCE = absl::Seconds(10);

http::CallerServerSettings settingsOfTest()
{
    http::CallerServerSettings settings;
    settings.server.requestTimeout = absl::Milliseconds(300);
    settings.server.writeTimeout = absl::Milliseconds(300);
    return settings;
}

/** Sends bytes, reads to the end, and checks that other callers are served. */
std::string answerTo(const GatewayFixture &gateway, const std::string &bytes)
{
    RawConnection connection(gateway.address());
    connection.send(bytes);
    CHECK(connection.readToEnd(PATIENCE));
    CHECK(gateway.call("POST", "/services/script/echo", "alive").body == "alive");
    return connection.received();
}

} // namespace

TEST_CASE("half a request ends after the request timeout")
{
    const GatewayFixture gateway(settingsOfTest());
    CHECK(answerTo(gateway, "POST /services/script/echo HTTP/1.1\r\nContent-Le").find("HTTP/1.1 400") == 0);
    CHECK(answerTo(gateway, "POST /services/script/echo HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf").find("did not arrive whole") != std::string::npos);
    CHECK(gateway.record().arrived == 2);
}

TEST_CASE("a header of one megabyte is refused, in one line and in many")
{
    const GatewayFixture gateway;
    CHECK(answerTo(gateway, "GET /v1/models HTTP/1.1\r\nX-Long: " + std::string(std::size_t{1} << 20, 'x') + "\r\n\r\n").find("HTTP/1.1 400") == 0);
    std::string many = "GET /v1/models HTTP/1.1\r\n";
    for (int i = 0; i < 1024; ++i) {
        many += "X-" + std::to_string(i) + ": " + std::string(1000, 'x') + "\r\n";
    }
    CHECK(answerTo(gateway, many + "\r\n").find("The header is too large.") != std::string::npos);
    CHECK(answerTo(gateway, "GET /" + std::string(6000, 'x') + " HTTP/1.1\r\n\r\n").find("The path is too long.") != std::string::npos);
}

TEST_CASE("a prompt of twenty megabytes is refused as too large, with and without a stated length")
{
    const GatewayFixture gateway;
    const std::string prompt(std::size_t{20} << 20, 'x');
    const http::ClientAnswer stated = gateway.call("POST", "/v1/chat/completions", prompt);
    CHECK(stated.status == 413);
    CHECK(stated.body.find("request_too_large") != std::string::npos);
    const std::string chunked
        = answerTo(gateway, "POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1400000\r\n" + prompt + "\r\n0\r\n\r\n");
    CHECK(chunked.find("HTTP/1.1 413") == 0);
    CHECK(gateway.call("POST", "/services/script/echo", "alive").body == "alive");
}

TEST_CASE("garbage, wrong UTF-8 and ambiguous lengths get a clear answer and reach no decision")
{
    const GatewayFixture gateway;
    CHECK(answerTo(gateway, "\x01\x02\x03 garbage\r\n\r\n").find("HTTP/1.1 400") == 0);
    CHECK(gateway.call("POST", "/v1/chat/completions", "{\"model\":\"\xff\"}").status == 400);
    const std::string start = "POST /services/script/echo HTTP/1.1\r\n";
    for (const char *lengths : {"Content-Length: 1\r\nContent-Length: 2\r\n", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "Content-Length: x\r\n",
             "Transfer-Encoding: gzip, chunked\r\n"}) {
        CHECK(answerTo(gateway, start + lengths + "\r\nxx").find("The length of the body is ambiguous.") != std::string::npos);
    }
}

TEST_CASE("a body that the method does not carry is never taken for a request")
{
    const GatewayFixture gateway;
    const std::string hidden = "GET /services/script/echo HTTP/1.1\r\nX-Hidden: 1\r\n\r\n";
    const std::string answer
        = answerTo(gateway, "GET /services/script/echo HTTP/1.1\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n" + hidden);
    CHECK(answer.find("HTTP/1.1 200") == 0);
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
}

TEST_CASE("forms, ranges and compressed bodies are passed on as they are")
{
    const GatewayFixture gateway;
    const std::string form = "a=" + std::string(10'000, 'x');
    CHECK(gateway.call("POST", "/services/script/echo", form, {{"Content-Type", "application/x-www-form-urlencoded"}}).body == form);
    const std::string parts = "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--b--\r\n";
    CHECK(gateway.call("POST", "/services/script/echo", parts, {{"Content-Type", "multipart/form-data; boundary=b"}}).body == parts);
    CHECK(gateway.call("POST", "/services/script/echo", "0123456789", {{"Range", "bytes=2-3"}}).body == "0123456789");
    CHECK(gateway.call("POST", "/services/script/echo", "not gzip", {{"Content-Encoding", "gzip"}, {"Accept-Encoding", "gzip"}}).body == "not gzip");
}

TEST_CASE("a slow reader is cut off at a bound and holds up nobody else")
{
    GatewayFixture gateway(settingsOfTest());
    RawConnection slow(gateway.address());
    slow.send("GET /services/script/flood HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(tests::eventually([&] { return gateway.record().callersLeft >= 1; }));
    CHECK(gateway.call("POST", "/services/script/echo", "alive").body == "alive");
    CHECK(tests::eventually([&] { return gateway.openRequests() == 0; }));
    CHECK(slow.readToEnd(PATIENCE));
    CHECK(slow.received().find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("bodies of all open requests together are bounded, streams included")
{
    http::CallerServerSettings settings;
    settings.server.maxBufferedBytes = std::size_t{1} << 20;
    const GatewayFixture gateway(settings);
    gateway.enginePage("/control", R"({"tokens":100000,"tokenMs":5})");
    const std::string large = tests::chatBody(std::string(900'000, 'x'), true);
    {
        RawConnection stream(gateway.address());
        stream.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: " + std::to_string(large.size()) + "\r\n\r\n" + large);
        REQUIRE(stream.readUntil("data:", PATIENCE).find("data:") != std::string::npos);
        const http::ClientAnswer refused = gateway.call("POST", "/services/script/echo", large);
        CHECK(refused.status == 503);
        CHECK(refused.body.find("\"not_run\"") != std::string::npos);
        CHECK(gateway.call("POST", "/services/script/echo", "small").body == "small");
    }
    CHECK(tests::eventually([&] { return gateway.call("POST", "/services/script/echo", large).status == 200; }));
}

TEST_CASE("idle connections give way to requests, and connections above the bound get an answer")
{
    http::CallerServerSettings settings;
    settings.server.maxConnections = 4;
    GatewayFixture gateway(settings);
    std::vector<std::unique_ptr<RawConnection>> idle;
    idle.reserve(4);
    for (int i = 0; i < 4; ++i) {
        idle.push_back(std::make_unique<RawConnection>(gateway.address()));
    }
    CHECK(tests::eventually([&] { return gateway.call("POST", "/services/script/echo", "alive").body == "alive"; }));

    idle.clear();
    std::vector<std::unique_ptr<RawConnection>> busy;
    while (gateway.record().callersLeft == 0 && busy.size() < 4) {
        const int arrived = gateway.record().arrived;
        busy.push_back(std::make_unique<RawConnection>(gateway.address()));
        busy.back()->send("GET /services/script/hold HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(tests::eventually([&] { return gateway.record().arrived == arrived + 1; }));
    }
    RawConnection refused(gateway.address());
    refused.readToEnd(PATIENCE);
    CHECK(refused.received().find("HTTP/1.1 503") == 0);
    CHECK(refused.received().find("\"not_run\"") != std::string::npos);
}
