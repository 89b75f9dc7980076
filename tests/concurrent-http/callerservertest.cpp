#include "gatewayfixture.h"
#include "support/rawconnection.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <mutex>
#include <thread>

using namespace snipeferry;
using tests::GatewayFixture;

namespace {

constexpr absl::Duration PATIENCE = absl::Seconds(10);

} // namespace

TEST_CASE("an answer comes back whole with the system's own request id")
{
    const GatewayFixture gateway;
    const http::ClientAnswer answer = gateway.call("POST", "/services/script/echo", "payload \xff", {{"X-Request-Id", "mine"}});
    CHECK(answer.status == 200);
    CHECK(answer.body == "payload \xff");
    CHECK(http::headerValue(answer.headers, "X-Request-Id").rfind("req-", 0) == 0);
}

TEST_CASE("the caller interface answers models, entries and operation numbers")
{
    const GatewayFixture gateway;
    CHECK(gateway.call("GET", "/v1/models").body.find("\"id\":\"planner\"") != std::string::npos);
    const http::ClientAnswer entries = gateway.call("GET", "/v1/entries", "", {{"Authorization", "Bearer k"}});
    CHECK(nlohmann::json::parse(entries.body)["entries"][0]["address"] == "127.0.0.1:1");
    CHECK(nlohmann::json::parse(entries.body)["ttl_seconds"] == 10);
    CHECK(gateway.call("GET", "/v1/entries").status == 401);
    CHECK(gateway.call("POST", "/v1/operations").body.find("op-1") != std::string::npos);
    CHECK(gateway.call("GET", "/nothing").status == 404);
}

TEST_CASE("a refusal is an error answer with Retry-After")
{
    const GatewayFixture gateway;
    const http::ClientAnswer answer = gateway.call("GET", "/services/script/error");
    CHECK(answer.status == 429);
    CHECK(http::headerValue(answer.headers, "Retry-After") == "2");
    CHECK(nlohmann::json::parse(answer.body)["error"]["type"] == "rate_exceeded");
    CHECK(nlohmann::json::parse(answer.body)["error"]["ran"] == "not_run");
}

TEST_CASE("a failure after the head is an event of a stream, and an error answer of a whole answer")
{
    const GatewayFixture gateway;
    const http::ClientAnswer stream = gateway.call("GET", "/services/script/stream-error");
    CHECK(stream.status == 200);
    CHECK(stream.body.find("data: 1\n\nevent: error\ndata: {\"error\":") == 0);
    CHECK(gateway.call("GET", "/services/script/whole-error").status == 502);
}

TEST_CASE("a chat request streams through to the engine and back without the caller's key")
{
    const GatewayFixture gateway;
    const http::ClientAnswer answer
        = gateway.call("POST", "/v1/chat/completions", tests::chatBody("payload-17", true), {{"Authorization", "Bearer secret-key-1"}, {"Cookie", "a=b"}});
    CHECK(answer.status == 200);
    CHECK(answer.body.find("payload-17") != std::string::npos);
    CHECK(answer.body.find("data: [DONE]") != std::string::npos);
    const std::string log = gateway.enginePage("/log");
    CHECK(log.find("payload-17") != std::string::npos);
    CHECK(log.find("secret-key-1") == std::string::npos);
    CHECK(log.find("ookie") == std::string::npos);
}

TEST_CASE("concurrent callers each get the whole answer to their own request")
{
    constexpr int CALLERS = 8;
    constexpr int CALLS = 12;
    const GatewayFixture gateway;
    std::mutex mutex;
    std::vector<std::string> wrong;
    std::vector<std::thread> callers;
    callers.reserve(CALLERS);
    for (int caller = 0; caller < CALLERS; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < CALLS; ++i) {
                const std::string payload = "payload-" + std::to_string(caller) + "-" + std::to_string(i) + "-end";
                const bool isStream = i % 2 == 0;
                const http::ClientAnswer answer = gateway.call("POST", "/v1/chat/completions", tests::chatBody(payload, isStream));
                const bool isOwn = answer.status == 200 && answer.body.find(payload) != std::string::npos
                    && answer.body.find("payload-") == answer.body.rfind("payload-") && answer.body.find(isStream ? "[DONE]" : "usage") != std::string::npos;
                if (!isOwn) {
                    const std::lock_guard<std::mutex> lock(mutex);
                    wrong.push_back(payload + ": " + std::to_string(answer.status) + " " + answer.result.reason + " " + answer.body);
                }
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CAPTURE(wrong);
    CHECK(wrong.empty());
    CHECK(gateway.record().arrived == CALLERS * CALLS);
}

TEST_CASE("a burst of connections does not wait for the stand-in to accept them")
{
    // A queue of few places drops opening packets, which are sent again after a second or three: too late for a caller's connect timeout.
    constexpr int CONNECTIONS = 400;
    standins::ThreadedServer server(
        [](const http::HttpRequest & /*request*/, const standins::ClientProbe & /*isClientGone*/) { return standins::StandinAnswer(); });
    const std::string address = server.start(0).value();
    const absl::Time start = absl::Now();
    for (int i = 0; i < CONNECTIONS; ++i) {
        const tests::RawConnection connection(address);
    }
    CHECK(absl::Now() - start < absl::Milliseconds(900));
}

TEST_CASE("a caller that leaves is noticed while it waits and while it reads, and its engine is told to stop")
{
    GatewayFixture gateway;
    {
        tests::RawConnection waiting(gateway.address());
        waiting.send("GET /services/script/hold HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(tests::eventually([&] { return gateway.record().arrived == 1; }));
    }
    CHECK(tests::eventually([&] { return gateway.record().callersLeft == 1; }));

    gateway.enginePage("/control", R"({"tokens":100000,"tokenMs":5})");
    {
        tests::RawConnection reading(gateway.address());
        const std::string body = tests::chatBody("x", true);
        reading.send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        reading.readUntil("data:", PATIENCE);
    }
    CHECK(tests::eventually([&] { return gateway.record().callersLeft == 2; }));
    CHECK(tests::eventually([&] { return gateway.enginePage("/log").find("\"cut\"") != std::string::npos; }));
    CHECK(tests::eventually([&] { return gateway.openAttempts() == 0 && gateway.openRequests() == 0; }));
}

TEST_CASE("a failure of the decision parts ends open requests with an answer and readiness with it")
{
    GatewayFixture gateway;
    int heldStatus = 0;
    std::thread held([&] { heldStatus = gateway.call("GET", "/services/script/hold").status; });
    REQUIRE(tests::eventually([&] { return gateway.record().arrived == 1; }));
    CHECK(gateway.call("GET", "/services/script/throw").status == 500);
    held.join();
    CHECK(heldStatus == 500);
    CHECK(gateway.hasFailed());
    CHECK_FALSE(gateway.isReady());
    CHECK(gateway.call("GET", "/services/script/echo").status == 503);
}
