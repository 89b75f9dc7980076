#include "snipeferry/http/requestparser.h"

#include "snipeferry/http/chatrequest.h"
#include "snipeferry/http/erroranswer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace snipeferry;

namespace {

constexpr const char CHAT[] = R"({"model":"planner","messages":[{"role":"user","content":"hello"}],"max_tokens":10,"API_KEY":"x"})";

configuration::Configuration configurationOfTest()
{
    configuration::Configuration result;
    configuration::Service assistant;
    assistant.id = core::ServiceId("assistant");
    assistant.type = configuration::ServiceType::ModelEngine;
    assistant.model = "planner";
    assistant.defaultMaxTokens = 500;
    configuration::Service booking;
    booking.id = core::ServiceId("booking");
    booking.routes = {{"/stock", true, false, 3}};
    result.services = {assistant, booking};
    return result;
}

core::Expected<node::CallerRequest> parse(const std::string &method, const std::string &target, core::Headers headers, const std::string &body)
{
    const configuration::Configuration configuration = configurationOfTest();
    const http::ParseContext context = {configuration, core::RequestId("req-1")};
    core::Expected<http::KeylessRequest> keyless = http::takeCallerKey({method, target, std::move(headers), body});
    if (!keyless.has_value()) {
        return tl::make_unexpected(keyless.error());
    }
    const bool isChat = keyless->target.path == http::CHAT_PATH;
    return isChat ? http::parseChat(*keyless, context) : http::parseServiceCall(method, std::move(*keyless), context);
}

core::ErrorKind kindOf(const core::Expected<node::CallerRequest> &result)
{
    return result.has_value() ? core::ErrorKind::Internal : result.error().kind;
}

} // namespace

TEST_CASE("a chat request gets service, bound and a body without key fields")
{
    const core::Expected<node::CallerRequest> request
        = parse("POST", http::CHAT_PATH, {{"X-Request-Id", "mine"}, {"X-Priority", "99"}, {"Idempotency-Key", "k-1"}, {"Accept", "a"}}, CHAT);
    REQUIRE(request.has_value());
    CHECK(request->service == core::ServiceId("assistant"));
    CHECK(request->tokenBound == request->promptTokens + 10);
    CHECK(request->idempotencyKey == "k-1");
    CHECK(request->headers == core::Headers{{"Accept", "a"}});
    CHECK(request->body.find("API_KEY") == std::string::npos);
    CHECK_FALSE(request->isStream);
}

TEST_CASE("without a stated bound the service's default counts, and choices multiply a stated one")
{
    const std::string start = R"({"model":"planner","messages":[{"role":"user","content":"hi"}])";
    const core::Expected<node::CallerRequest> standard = parse("POST", http::CHAT_PATH, {}, start + "}");
    CHECK(standard->tokenBound - standard->promptTokens == 500);
    const core::Expected<node::CallerRequest> choices = parse("POST", http::CHAT_PATH, {}, start + R"(,"n":3,"max_completion_tokens":7,"stream":true})");
    CHECK(choices->tokenBound - choices->promptTokens == 21);
    CHECK(choices->isStream);
}

TEST_CASE("wrong chat bodies are refused")
{
    const std::string deep(100'000, '[');
    const std::vector<std::string> bodies = {"", "{", "[]", "{\"model\":1}", R"({"model":"planner","messages":[]})", R"({"model":"planner","messages":["x"]})",
        R"({"model":"planner","messages":[{"role":"user","content":"x"}],"max_tokens":0})",
        R"({"model":"planner","messages":[{"role":"user","content":"x"}],"max_tokens":99999999999999999999})",
        R"({"model":"planner","messages":[{"role":"user","content":"x"}],"stream":1})",
        "{\"model\":\"planner\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\xfe\"}]}", "{\"model\":" + deep};
    for (const std::string &body : bodies) {
        CHECK(kindOf(parse("POST", http::CHAT_PATH, {}, body)) == core::ErrorKind::BadRequest);
    }
    CHECK(kindOf(parse("POST", http::CHAT_PATH, {}, R"({"model":"x","messages":[{"role":"user"}]})")) == core::ErrorKind::UnknownModel);
}

TEST_CASE("calls of plain services keep path, query and body")
{
    const core::Expected<node::CallerRequest> request = parse("PUT", "/services/booking/stock/7?unit=heater&key=abcdef", {}, "raw \xff");
    REQUIRE(request.has_value());
    CHECK(request->service == core::ServiceId("booking"));
    CHECK(request->path == "/stock/7?unit=heater");
    CHECK(request->method == "PUT");
    CHECK(request->body == "raw \xff");
    CHECK(request->tokenBound == 3);
    CHECK(request->keyDigest == http::sha256Hex("abcdef"));
    CHECK(parse("GET", "/services/booking", {}, "")->path == "/");
    CHECK(kindOf(parse("GET", "/services/none/x", {}, "")) == core::ErrorKind::UnknownService);
    // A model engine behind a plain path would escape token accounting.
    CHECK(kindOf(parse("POST", "/services/assistant/v1/chat/completions", {}, CHAT)) == core::ErrorKind::UnknownService);
}

TEST_CASE("paths that two readers could understand differently are refused or normalised")
{
    for (const char *path : {"/services/booking/open/../stock", "/services/booking/%2e%2e/x", "/services/booking//stock", "/services/booking/a%2fb",
             "/services/booking/a\\b", "/services/booking/a%00", "/services/booking/a%5cb", "/services/booking/..;x/stock", "no-slash"}) {
        CHECK(kindOf(parse("GET", path, {}, "")) == core::ErrorKind::BadRequest);
    }
    CHECK(parse("GET", "/services/booking/%73tock/a%20b", {}, "")->path == "/stock/a%20b");
}

TEST_CASE("idempotency headers are single and exclude each other")
{
    const std::string target = "/services/booking/x";
    CHECK(kindOf(parse("POST", target, {{"Idempotency-Key", "a"}, {"idempotency-key", "a"}}, "")) == core::ErrorKind::BadRequest);
    CHECK(kindOf(parse("POST", target, {{"Idempotency-Key", ""}}, "")) == core::ErrorKind::BadRequest);
    CHECK(kindOf(parse("POST", target, {{"Idempotency-Key", std::string(256, 'x')}}, "")) == core::ErrorKind::BadRequest);
    CHECK(kindOf(parse("POST", target, {{"Idempotency-Key", "a"}, {"Operation-Number", "b"}}, "")) == core::ErrorKind::BadRequest);
    CHECK(parse("POST", target, {{"operation-number", "b"}}, "")->operationNumber == "b");
}

TEST_CASE("equal prompts share prefix hashes up to the first different block")
{
    const std::string common(1000, 'a');
    const std::vector<std::uint64_t> first = http::prefixHashes("m", common + std::string(1000, 'b'));
    const std::vector<std::uint64_t> second = http::prefixHashes("m", common + std::string(1000, 'c'));
    REQUIRE(first.size() == 7);
    CHECK(std::equal(first.begin(), first.begin() + 3, second.begin()));
    CHECK(first[3] != second[3]);
    CHECK(http::prefixHashes("other", common).front() != first.front());
}

TEST_CASE("every error kind has a whole answer")
{
    for (int i = 0; i <= static_cast<int>(core::ErrorKind::Internal); ++i) {
        const core::Error error = core::makeError(static_cast<core::ErrorKind>(i), "text \xff", absl::Milliseconds(1200));
        const http::HttpAnswer answer = http::errorAnswer(error, "req-1");
        const nlohmann::json body = nlohmann::json::parse(answer.body);
        CHECK(body["error"]["type"] == core::errorAnswer(error.kind).name);
        CHECK(body["error"]["ran"] == core::ranStateName(error.ranState));
        CHECK(body["error"]["request_id"] == "req-1");
        CHECK(http::headerValue(answer.headers, "retry-after") == (core::errorAnswer(error.kind).retryable ? "2" : ""));
    }
}

TEST_CASE("no bytes make the decoders fail or return an unnormalised path")
{
    CHECK(rc::check("targets", [](const std::string &text) {
        const core::Expected<http::Target> target = http::parseTarget("/" + text);
        if (target.has_value()) {
            RC_ASSERT(target->path.find("/../") == std::string::npos);
            RC_ASSERT(http::parseTarget(target->path)->path == target->path);
        }
    }));
    CHECK(rc::check("chat bodies", [](const std::string &text) { RC_ASSERT(!http::parseChatRequest(text).has_value()); }));
    CHECK(rc::check("chat prompts", [](const std::vector<std::uint8_t> &bytes) {
        const nlohmann::json body = {{"model", "planner"}, {"messages", {{{"role", "user"}, {"content", nlohmann::json::binary(bytes)}}}}};
        const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        RC_ASSERT(http::parseChatRequest(text).has_value());
    }));
}
